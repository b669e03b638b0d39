package org.tanagergap.standins.engine;

import java.time.Duration;

/**
 * Speed and size of a model engine.
 *
 * @param model name of the model that is loaded
 * @param memoryTokens memory for KV cache, in tokens
 * @param prefillTokensPerSecond speed of prefill
 * @param prefillChunkTokens maximum number of prompt tokens per step; the limit lets decoding
 *     proceed alongside prefill
 * @param stepOverhead fixed duration of a step
 * @param decodeTimePerRun time that each decoding run adds to a step
 * @param maxQueued maximum number of requests waiting for memory
 * @param bytesPerToken bytes of prompt text per token
 * @param importTokensPerSecond speed of importing KV cache from another engine
 */
public record EngineSettings(
        String model,
        long memoryTokens,
        double prefillTokensPerSecond,
        int prefillChunkTokens,
        Duration stepOverhead,
        Duration decodeTimePerRun,
        int maxQueued,
        double bytesPerToken,
        double importTokensPerSecond) {

    /** Engine with 20,000 prompt tokens a second and about 40 output tokens a second per run. */
    public static EngineSettings of(String model, long memoryTokens) {
        return new EngineSettings(
                model,
                memoryTokens,
                20_000,
                1_024,
                Duration.ofMillis(12),
                Duration.ofNanos(200_000),
                1_024,
                4.2,
                2_000_000);
    }

    /** Returns a copy with the given prefill speed. */
    public EngineSettings withPrefillTokensPerSecond(double rate) {
        return new EngineSettings(
                model,
                memoryTokens,
                rate,
                prefillChunkTokens,
                stepOverhead,
                decodeTimePerRun,
                maxQueued,
                bytesPerToken,
                importTokensPerSecond);
    }
}
