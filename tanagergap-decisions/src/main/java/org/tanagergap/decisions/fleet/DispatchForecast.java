package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Predicts how long a request waits behind others, from the rate at which waiting requests were
 * dispatched lately. Confined to the event loop.
 */
public final class DispatchForecast {

    private static final Duration WINDOW = Duration.ofMillis(1500);
    private static final double NANOS_PER_SECOND = 1e9;

    /** Assumed rate before any dispatch was seen, in requests a second. */
    private static final double DEFAULT_RATE_PER_SECOND = 20;

    private final Deque<Long> mDispatches = new ArrayDeque<>();
    private long mBusySinceNanos;
    private boolean mBusy;

    /** Records that requests wait from now on. */
    public void queueBecameNonEmpty(long nowNanos) {
        mBusy = true;
        mBusySinceNanos = nowNanos;
        mDispatches.clear();
    }

    /** Records that no request waits any more. */
    public void queueBecameEmpty() {
        mBusy = false;
        mDispatches.clear();
    }

    /** Records that a waiting request was dispatched. */
    public void dispatched(long nowNanos) {
        mDispatches.addLast(nowNanos);
        expire(nowNanos);
    }

    /** Predicted wait behind the given number of requests. */
    public Duration predictedWait(int ahead, long nowNanos) {
        if (ahead == 0) {
            return Duration.ZERO;
        }
        return Duration.ofNanos((long) (ahead / rate(nowNanos) * NANOS_PER_SECOND));
    }

    private double rate(long nowNanos) {
        expire(nowNanos);
        if (!mBusy) {
            return DEFAULT_RATE_PER_SECOND;
        }
        double observed = Math.min(nowNanos - mBusySinceNanos, WINDOW.toNanos()) / NANOS_PER_SECOND;
        double window = WINDOW.toNanos() / NANOS_PER_SECOND;
        // The default fills the part of the window that has not been observed yet.
        double assumed = DEFAULT_RATE_PER_SECOND * (window - observed);
        return Math.max(0.5, (mDispatches.size() + assumed) / window);
    }

    private void expire(long nowNanos) {
        while (!mDispatches.isEmpty() && nowNanos - mDispatches.peekFirst() > WINDOW.toNanos()) {
            mDispatches.removeFirst();
        }
    }
}
