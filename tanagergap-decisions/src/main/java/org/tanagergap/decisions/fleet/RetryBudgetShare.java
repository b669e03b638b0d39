package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Share of one instance in a retry budget that applies to all instances together: in any window, a
 * ratio of the requests plus a fixed extra. The extra is divided evenly, so that instances need not
 * exchange messages. Confined to the event loop.
 */
public final class RetryBudgetShare {

    /** The rest is a margin, because the budget is measured at the upstreams and not here. */
    private static final double SPENDABLE_SHARE = 0.8;

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

    /**
     * Spends one retry.
     *
     * @return false if the share is used up and the retry must not be sent
     */
    public boolean trySpend(int instances, long nowNanos) {
        expire(mRequests, nowNanos);
        expire(mRetries, nowNanos);
        double allowed =
                SPENDABLE_SHARE * (mRatio * mRequests.size() + mExtra / Math.max(1, instances));
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
