package org.tanagergap.decisions.fleet;

/**
 * Cost model of one model engine, as its operator declares it.
 *
 * @param slots requests that the engine processes at once
 * @param memoryTokens tokens of KV cache that the engine holds
 * @param decodeStepsPerIteration token steps in one pass that has writers
 * @param decodeStepMillis base time of a token step, in ms
 * @param decodeStepMillisPerRequest time that each writer adds to a step, in ms
 * @param decodeStepMillisPerKiloToken time that 1,000 tokens of a writer's context add to a step,
 *     in ms
 * @param prefillTokensPerMilli prompt tokens that are read in a millisecond
 * @param prefillMillisPerMillionPairs time for a million pairs of a token and an earlier one, in ms
 * @param hopMillis time that each helper adds to a step of a prompt spread over engines, in ms
 */
public record EngineProfile(
        int slots,
        long memoryTokens,
        int decodeStepsPerIteration,
        double decodeStepMillis,
        double decodeStepMillisPerRequest,
        double decodeStepMillisPerKiloToken,
        double prefillTokensPerMilli,
        double prefillMillisPerMillionPairs,
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
        if (decodeStepsPerIteration < 1) {
            throw new IllegalArgumentException(
                    "strideSteps must be at least 1: " + decodeStepsPerIteration);
        }
        if (!(prefillTokensPerMilli > 0)) {
            throw new IllegalArgumentException(
                    "readTokensPerMilli must be positive: " + prefillTokensPerMilli);
        }
    }

    /** Time to read a prompt on an engine that does nothing else, in ms. */
    public double prefillMillis(long promptTokens) {
        double pairs = 0.5 * promptTokens * promptTokens;
        return promptTokens / prefillTokensPerMilli
                + pairs / MILLION * prefillMillisPerMillionPairs;
    }

    /** Duration of a pass with the given writers and no reading, in ms. */
    public double iterationMillis(int writers, long contextTokens) {
        double step =
                decodeStepMillis
                        + writers * decodeStepMillisPerRequest
                        + contextTokens / KILO * decodeStepMillisPerKiloToken;
        return decodeStepsPerIteration * step;
    }
}
