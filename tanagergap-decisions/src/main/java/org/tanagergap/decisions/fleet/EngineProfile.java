package org.tanagergap.decisions.fleet;

/**
 * Cost model of one model engine, as declared by its operator.
 *
 * @param slots number of requests that the engine processes at once
 * @param memoryTokens capacity of the KV cache, in tokens
 * @param decodeStepsPerIteration decode steps in one engine iteration with decoding requests
 * @param decodeStepMillis base time of a decode step, in ms
 * @param decodeStepMillisPerRequest time that each decoding request adds to a step, in ms
 * @param decodeStepMillisPerKiloToken time that 1,000 tokens of context of the decoding requests
 *     add to a step, in ms
 * @param prefillTokensPerMilli prompt tokens prefilled per millisecond
 * @param prefillMillisPerMillionPairs attention time for a million pairs of a token and an earlier
 *     token, in ms
 * @param hopMillis time that each helper engine adds to a step of a prompt split over several
 *     engines, in ms
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
                    "decodeStepsPerIteration must be at least 1: " + decodeStepsPerIteration);
        }
        if (!(prefillTokensPerMilli > 0)) {
            throw new IllegalArgumentException(
                    "prefillTokensPerMilli must be positive: " + prefillTokensPerMilli);
        }
    }

    /** Returns the time to prefill a prompt on an otherwise idle engine, in ms. */
    public double prefillMillis(long promptTokens) {
        double pairs = 0.5 * promptTokens * promptTokens;
        return promptTokens / prefillTokensPerMilli
                + pairs / MILLION * prefillMillisPerMillionPairs;
    }

    /**
     * Returns the duration of an iteration with the given decoding requests and no prefill, in ms.
     */
    public double iterationMillis(int writers, long contextTokens) {
        double step =
                decodeStepMillis
                        + writers * decodeStepMillisPerRequest
                        + contextTokens / KILO * decodeStepMillisPerKiloToken;
        return decodeStepsPerIteration * step;
    }
}
