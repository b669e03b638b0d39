package org.tanagergap.agent.engine;

/**
 * Load report of an engine.
 *
 * @param memoryTokensUsed memory in use
 * @param memoryTokensTotal memory of the engine
 * @param queued runs that wait in the engine
 * @param prefillTokensQueued prompt tokens that wait in the engine
 * @param sampledAtMillis engine's time of the sample
 */
public record EngineLoad(
        long memoryTokensUsed,
        long memoryTokensTotal,
        int queued,
        long prefillTokensQueued,
        long sampledAtMillis) {}
