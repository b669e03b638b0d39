package org.tanagergap.decisions.scheduling;

import java.time.Duration;

/** Learns the engine's prefill rate as an average over about two seconds of prefill. */
final class PrefillRateEstimator {

    private static final Duration AVERAGING_TIME = Duration.ofSeconds(2);
    private static final Duration FRESHNESS_TIME = Duration.ofSeconds(10);
    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Bounds the effect of one sample, because a cached prefix or a stall distorts single samples.
     */
    private static final double MAX_CHANGE = 8;

    /** Shorter prompts measure the round trip rather than prefill. */
    private static final long MIN_FIRST_SAMPLE_TOKENS = 256;

    private double mTokensPerSecond;
    private boolean mMeasured;
    private long mLastSampleNanos;

    PrefillRateEstimator(double initialTokensPerSecond) {
        mTokensPerSecond = initialTokensPerSecond;
    }

    double tokensPerSecond() {
        return mTokensPerSecond;
    }

    /** Returns true if the rate was measured recently enough to refuse work because of it. */
    boolean isFresh(long nowNanos) {
        return mMeasured && nowNanos - mLastSampleNanos < FRESHNESS_TIME.toNanos();
    }

    long nanosFor(double tokens) {
        return (long) Math.min(Long.MAX_VALUE / 4, tokens / mTokensPerSecond * NANOS_PER_SECOND);
    }

    /**
     * Records prefill by the engine.
     *
     * @param tokens tokens prefilled in the interval
     * @param promptTokens length of the prompt whose first token ended the interval
     */
    void sample(double tokens, long intervalNanos, long nowNanos, long promptTokens) {
        if (tokens <= 0 || intervalNanos <= 0) {
            return;
        }
        double sample = tokens / (intervalNanos / NANOS_PER_SECOND);
        if (!mMeasured) {
            if (promptTokens >= MIN_FIRST_SAMPLE_TOKENS) {
                mTokensPerSecond = sample;
                mMeasured = true;
                mLastSampleNanos = nowNanos;
            }
            return;
        }
        double bounded =
                Math.max(
                        mTokensPerSecond / MAX_CHANGE,
                        Math.min(mTokensPerSecond * MAX_CHANGE, sample));
        double weight = 1 - Math.exp(-intervalNanos / (double) AVERAGING_TIME.toNanos());
        mTokensPerSecond += weight * (bounded - mTokensPerSecond);
        mLastSampleNanos = nowNanos;
    }
}
