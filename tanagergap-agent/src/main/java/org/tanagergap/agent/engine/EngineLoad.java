package org.tanagergap.agent.engine;

/**
 * Load report of an engine.
 *
 * @param memoryTokensUsed memory in use, in tokens
 * @param memoryTokensTotal memory of the engine, in tokens
 * @param queued runs queued in the engine
 * @param prefillTokensQueued prompt tokens queued for prefill in the engine
 * @param sampledAtMillis time of the sample, by the engine's clock
 */
public record EngineLoad(
        long memoryTokensUsed,
        long memoryTokensTotal,
        int queued,
        long prefillTokensQueued,
        long sampledAtMillis) {}
