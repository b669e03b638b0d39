package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This instance's share of a retry budget that all instances keep together: in any window, a ratio
 * of the requests plus a fixed extra. The extra is divided evenly, so that no messages are needed.
 * Confined to the event loop.
 */
public final class RetryBudgetShare {

    /** Kept free, because requests and retries are counted at upstreams and not here. */
    private static final double USED_SHARE = 0.8;

    private final double mRatio;
    private final double mExtra;
    private final long mWindowNanos;
    private final Deque<Long> mRequests = new ArrayDeque<>();
    private final Deque<Long> mRetries = new ArrayDeque<>();

    public RetryBudgetShare(double ratio, double extra, Duration window) {
        if (!(ratio >= 0) || !(extra >= 0)) {
            throw new IllegalArgumentException(
                    "ratio and extra must not be negative: " + ratio + ", " + extra);
        }
        mRatio = ratio;
        mExtra = extra;
        mWindowNanos = window.toNanos();
    }

    /** Records a request of a caller. */
    public void recordRequest(long nowNanos) {
        mRequests.addLast(nowNanos);
        expire(mRequests, nowNanos);
    }

    /** Spends one retry; returns whether the share allows it. */
    public boolean trySpend(int instances, long nowNanos) {
        expire(mRequests, nowNanos);
        expire(mRetries, nowNanos);
        double allowed = USED_SHARE * (mRatio * mRequests.size() + mExtra / Math.max(1, instances));
        if (mRetries.size() + 1 > allowed) {
            return false;
        }
        mRetries.addLast(nowNanos);
        return true;
    }

    private void expire(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() > mWindowNanos) {
            times.removeFirst();
        }
    }
}
