package org.tanagergap.decisions.scheduling;

/**
 * Learns how long work occupies its memory, weighted by memory, and thus how fast memory is
 * released.
 */
final class ResidencyEstimator {

    /** Weight of older samples at each new one; averages over about 50 attempts. */
    private static final double DECAY = 0.98;

    private static final double NANOS_PER_SECOND = 1e9;

    private double mTokenSeconds;
    private double mTokens;

    void released(long tokens, long heldNanos) {
        mTokenSeconds = mTokenSeconds * DECAY + tokens * (heldNanos / NANOS_PER_SECOND);
        mTokens = mTokens * DECAY + tokens;
    }

    /** Returns the time until an engine whose memory is full has released the tokens. */
    long nanosFor(double tokens, long capacity) {
        if (tokens <= 0 || mTokens <= 0 || capacity <= 0) {
            return 0;
        }
        double seconds = tokens / capacity * (mTokenSeconds / mTokens);
        return (long) Math.min(Long.MAX_VALUE / 4, seconds * NANOS_PER_SECOND);
    }
}
