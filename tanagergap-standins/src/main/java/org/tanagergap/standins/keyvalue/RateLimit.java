package org.tanagergap.standins.keyvalue;

/** Token bucket that holds one second of the permitted rate; not thread-safe. */
final class RateLimit {

    private static final double NANOS_PER_SECOND = 1e9;

    private final long mPerSecond;
    private double mTokens;
    private long mLastNanos;

    RateLimit(long perSecond, long nowNanos) {
        mPerSecond = perSecond;
        mTokens = perSecond;
        mLastNanos = nowNanos;
    }

    /** Takes a token; returns false when none is left. */
    boolean tryTake(long nowNanos) {
        double gained = (nowNanos - mLastNanos) / NANOS_PER_SECOND * mPerSecond;
        mTokens = Math.min(mPerSecond, mTokens + gained);
        mLastNanos = nowNanos;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
