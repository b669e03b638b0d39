package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Predicts the queueing delay of a request from the recent dispatch rate of waiting requests.
 * Confined to the event loop.
 */
public final class DispatchForecast {

    private static final Duration WINDOW = Duration.ofMillis(1500);
    private static final double NANOS_PER_SECOND = 1e9;

    /** Assumed rate before the first observed dispatch, in requests per second. */
    private static final double DEFAULT_RATE_PER_SECOND = 20;

    private final Deque<Long> mDispatches = new ArrayDeque<>();
    private long mBusySinceNanos;
    private boolean mBusy;

    /** Records that the queue has its first waiting request. */
    public void queueBecameNonEmpty(long nowNanos) {
        mBusy = true;
        mBusySinceNanos = nowNanos;
        mDispatches.clear();
    }

    public void queueBecameEmpty() {
        mBusy = false;
        mDispatches.clear();
    }

    public void dispatched(long nowNanos) {
        mDispatches.addLast(nowNanos);
        expire(nowNanos);
    }

    /** Returns the predicted wait behind the given number of requests. */
    public Duration predictedWait(int ahead, long nowNanos) {
        if (ahead == 0) {
            return Duration.ZERO;
        }
        return predictedWait(ahead, rate(nowNanos));
    }

    /** Returns the time in which requests are dispatched at the rate. */
    public static Duration predictedWait(int requests, double perSecond) {
        return Duration.ofNanos((long) (requests / perSecond * NANOS_PER_SECOND));
    }

    private double rate(long nowNanos) {
        expire(nowNanos);
        if (!mBusy) {
            return DEFAULT_RATE_PER_SECOND;
        }
        double observed = Math.min(nowNanos - mBusySinceNanos, WINDOW.toNanos()) / NANOS_PER_SECOND;
        double window = WINDOW.toNanos() / NANOS_PER_SECOND;
        // The default rate stands in for the part of the window that has not been observed yet.
        double assumed = DEFAULT_RATE_PER_SECOND * (window - observed);
        return Math.max(0.5, (mDispatches.size() + assumed) / window);
    }

    private void expire(long nowNanos) {
        while (!mDispatches.isEmpty() && nowNanos - mDispatches.peekFirst() > WINDOW.toNanos()) {
            mDispatches.removeFirst();
        }
    }
}
