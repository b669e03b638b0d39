package org.tanagergap.decisions.fleet;

/**
 * Cost model of one model engine, as its operator declares it.
 *
 * @param slots requests that the engine processes at once
 * @param memoryTokens tokens of KV cache that the engine holds
 * @param strideSteps token steps in one pass that has writers
 * @param stepMillis base time of a token step, in ms
 * @param stepMillisPerWriter time that each writer adds to a step, in ms
 * @param stepMillisPerKiloToken time that 1,000 tokens of a writer's context add to a step, in ms
 * @param readTokensPerMilli prompt tokens that are read in a millisecond
 * @param readMillisPerMillionPairs time for a million pairs of a token and an earlier one, in ms
 * @param hopMillis time that each helper adds to a step of a prompt spread over engines, in ms
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        int strideSteps,
        double stepMillis,
        double stepMillisPerWriter,
        double stepMillisPerKiloToken,
        double readTokensPerMilli,
        double readMillisPerMillionPairs,
        double hopMillis) {

    private static final double MILLION = 1e6;
    private static final double KILO = 1e3;

    public EngineProfile {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1: " + slots);
        }
        if (memoryTokens < 1) {
            throw new IllegalArgumentException("memoryTokens must be at least 1: " + memoryTokens);
        }
        if (strideSteps < 1) {
            throw new IllegalArgumentException("strideSteps must be at least 1: " + strideSteps);
        }
        if (!(readTokensPerMilli > 0)) {
            throw new IllegalArgumentException(
                    "readTokensPerMilli must be positive: " + readTokensPerMilli);
        }
    }

    /** Time to read a prompt on an engine that does nothing else, in ms. */
    public double readMillis(long promptTokens) {
        double pairs = 0.5 * promptTokens * promptTokens;
        return promptTokens / readTokensPerMilli + pairs / MILLION * readMillisPerMillionPairs;
    }

    /** Duration of a pass with the given writers and no reading, in ms. */
    public double passMillis(int writers, long contextTokens) {
        double step =
                stepMillis
                        + writers * stepMillisPerWriter
                        + contextTokens / KILO * stepMillisPerKiloToken;
        return strideSteps * step;
    }
}
