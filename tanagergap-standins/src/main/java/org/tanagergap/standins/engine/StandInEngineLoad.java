package org.tanagergap.standins.engine;

import java.time.Instant;

/**
 * Load report.
 *
 * @param memoryTokensUsed memory that runs and held segments occupy
 * @param memoryTokensTotal memory of the engine
 * @param queued requests that wait for memory
 * @param prefillTokensQueued prompt tokens not yet prefilled
 * @param sampledAt when the values were taken
 */
public record StandInEngineLoad(
        long memoryTokensUsed,
        long memoryTokensTotal,
        int queued,
        long prefillTokensQueued,
        Instant sampledAt) {}
