package org.tanagergap.standins.keyvalue;

/** Token bucket with a capacity of one second of its rate; not thread-safe. */
final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final long mTokensPerSecond;
    private double mTokens;
    private long mLastNanos;

    TokenBucket(long tokensPerSecond, long nowNanos) {
        mTokensPerSecond = tokensPerSecond;
        mTokens = tokensPerSecond;
        mLastNanos = nowNanos;
    }

    /** Takes a token; returns false when none is available. */
    boolean tryAcquire(long nowNanos) {
        double refilled = (nowNanos - mLastNanos) / NANOS_PER_SECOND * mTokensPerSecond;
        mTokens = Math.min(mTokensPerSecond, mTokens + refilled);
        mLastNanos = nowNanos;
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
