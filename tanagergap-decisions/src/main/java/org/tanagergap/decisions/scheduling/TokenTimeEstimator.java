package org.tanagergap.decisions.scheduling;

import java.time.Duration;

/**
 * Learns the time that the engine takes per output token. The estimate follows increases at once
 * and decreases slowly, because work that is admitted on too low an estimate misses its deadline.
 */
final class TokenTimeEstimator {

    private static final double DECREASE_WEIGHT = 0.02;
    private static final Duration FRESHNESS_TIME = Duration.ofSeconds(10);

    /** Shorter outputs measure single steps, which one large chunk of prefill distorts. */
    private static final long MIN_SAMPLE_TOKENS = 8;

    private double mNanosPerToken;
    private long mLastSampleNanos;
    private boolean mMeasured;

    /** Records the output of an attempt whose first token arrived at the given time. */
    void released(long firstTokenNanos, long nowNanos, long outputTokens) {
        if (outputTokens < MIN_SAMPLE_TOKENS || nowNanos <= firstTokenNanos) {
            return;
        }
        double sample = (nowNanos - firstTokenNanos) / (outputTokens - 1.0);
        mNanosPerToken =
                Math.max(sample, mNanosPerToken + DECREASE_WEIGHT * (sample - mNanosPerToken));
        mLastSampleNanos = nowNanos;
        mMeasured = true;
    }

    /**
     * Returns the time for the tokens after the first; zero when no output has been measured
     * recently.
     */
    long nanosFor(long outputTokens, long nowNanos) {
        boolean isFresh = mMeasured && nowNanos - mLastSampleNanos < FRESHNESS_TIME.toNanos();
        return isFresh ? (long) (mNanosPerToken * Math.max(0, outputTokens - 1)) : 0;
    }
}
