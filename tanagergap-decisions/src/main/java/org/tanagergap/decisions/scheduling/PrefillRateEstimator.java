package org.tanagergap.decisions.scheduling;

import java.time.Duration;

/** Learns the engine's prefill rate as an average over about two seconds of prefill. */
final class PrefillRateEstimator {

    private static final Duration MEMORY = Duration.ofSeconds(2);
    private static final Duration FRESH = Duration.ofSeconds(10);
    private static final double NANOS_PER_SECOND = 1e9;

    /** Bounds one sample's effect, because a cached prefix or a stall distorts single samples. */
    private static final double MAX_CHANGE = 8;

    /** Shorter prompts measure the round trip rather than prefill. */
    private static final long MIN_FIRST_SAMPLE_TOKENS = 256;

    private double mTokensPerSecond;
    private boolean mMeasured;
    private long mLastFinishNanos;
    private long mLastSampleNanos;

    PrefillRateEstimator(double initialTokensPerSecond) {
        mTokensPerSecond = initialTokensPerSecond;
    }

    double tokensPerSecond() {
        return mTokensPerSecond;
    }

    /** Whether a recent measurement exists, so that work may be refused on its strength. */
    boolean isFresh(long nowNanos) {
        return mMeasured && nowNanos - mLastSampleNanos < FRESH.toNanos();
    }

    long nanosFor(double tokens) {
        return (long) Math.min(Long.MAX_VALUE / 4, tokens / mTokensPerSecond * NANOS_PER_SECOND);
    }

    /**
     * Records the end of a prefill. Prefills that overlap share the engine, so a sample starts at
     * the end of the one before.
     *
     * @param besideLong whether a long prompt was prefilled at the same time, which makes the
     *     sample useless
     */
    void finished(long startNanos, long nowNanos, long tokens, boolean besideLong) {
        long since = mMeasured ? Math.max(startNanos, mLastFinishNanos) : startNanos;
        long interval = nowNanos - since;
        mLastFinishNanos = nowNanos;
        if (besideLong || tokens <= 0 || interval <= 0) {
            return;
        }
        double sample = tokens / (interval / NANOS_PER_SECOND);
        if (!mMeasured) {
            if (tokens >= MIN_FIRST_SAMPLE_TOKENS) {
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
        double weight = 1 - Math.exp(-interval / (double) MEMORY.toNanos());
        mTokensPerSecond += weight * (bounded - mTokensPerSecond);
        mLastSampleNanos = nowNanos;
    }
}
