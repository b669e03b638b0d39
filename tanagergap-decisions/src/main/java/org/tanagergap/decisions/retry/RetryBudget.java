package org.tanagergap.decisions.retry;

import org.tanagergap.api.lock.LockRank;
import org.tanagergap.api.lock.OrderedLock;

/** Limits retries to a share of first attempts, so that retries cannot multiply an overload. */
public final class RetryBudget {

    private static final double DEFAULT_RATIO = 0.1;

    /** Covers the failover of all streams of one agent. */
    private static final double DEFAULT_MAX_TOKENS = 50;

    private final OrderedLock mLock = new OrderedLock(LockRank.RETRY_BUDGET);
    private final double mRatio;
    private final double mMaxTokens;
    private double mTokens;

    /** Creates a full budget that gains 0.1 token per first attempt. */
    public RetryBudget() {
        this(DEFAULT_RATIO, DEFAULT_MAX_TOKENS);
    }

    public RetryBudget(double ratio, double maxTokens) {
        if (!(ratio >= 0)) {
            throw new IllegalArgumentException("ratio must not be negative: " + ratio);
        }
        if (!(maxTokens >= 1)) {
            throw new IllegalArgumentException("maxTokens must be at least 1: " + maxTokens);
        }
        mRatio = ratio;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /** Records the first attempt of a request. */
    public void firstAttempt() {
        mLock.run(() -> mTokens = Math.min(mMaxTokens, mTokens + mRatio));
    }

    /**
     * Spends a token for a retry.
     *
     * @return false if no token is left and the retry must not be sent
     */
    public boolean trySpend() {
        return mLock.call(
                () -> {
                    // Ten gains of 0.1 add up to slightly less than 1 in binary arithmetic.
                    if (mTokens < 1 - 1e-9) {
                        return false;
                    }
                    mTokens = Math.max(0, mTokens - 1);
                    return true;
                });
    }

    /** Returns the number of tokens left. */
    public double tokens() {
        return mLock.call(() -> mTokens);
    }
}
