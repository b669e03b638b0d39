package org.tanagergap.standins.engine;

import java.time.Instant;

/**
 * Load report of the stand-in engine.
 *
 * @param memoryTokensUsed memory allocated to runs and retained segments, in tokens
 * @param memoryTokensTotal memory of the engine, in tokens
 * @param queued requests waiting for memory
 * @param prefillTokensQueued prompt tokens not yet prefilled
 * @param sampledAt time at which the values were sampled
 */
public record StandInEngineLoad(
        long memoryTokensUsed,
        long memoryTokensTotal,
        int queued,
        long prefillTokensQueued,
        Instant sampledAt) {}
