package org.tanagergap.gateway.caller;

import java.time.Duration;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.DurationEstimate;

/** Decides which requests are still accepted before the process exits. */
final class ShutdownAdmission {

    private final RuntimeClock mClock;
    private final long mExitNanos;
    private boolean mBalancerHasNoticed;

    /**
     * Creates the decision at the beginning of a shutdown.
     *
     * @param grace time until the process exits
     */
    ShutdownAdmission(RuntimeClock clock, Duration grace) {
        mClock = clock;
        mExitNanos = clock.nanoTime() + grace.toNanos();
    }

    /** Records that the load balancer has had the time to send callers to other instances. */
    void balancerHasNoticed() {
        mBalancerHasNoticed = true;
    }

    /** Time until the process exits. */
    Duration remaining() {
        return Duration.ofNanos(mExitNanos - mClock.nanoTime());
    }

    /**
     * Returns true if the request will probably have ended before the process exits. When the load
     * balancer has noticed the shutdown, few requests still arrive here and another instance can
     * serve them: one that must not run twice then needs all of its time, because its caller could
     * not repeat it after a late failure, and any other one twice its estimated time.
     */
    boolean canFinishInTime(GatewayRequest request) {
        if (!mBalancerHasNoticed) {
            return estimate(request).compareTo(remaining()) < 0;
        }
        if (!request.route().retryable()) {
            return request.deadlineNanos() < mExitNanos;
        }
        return estimate(request).multipliedBy(2).compareTo(remaining()) < 0;
    }

    private static Duration estimate(GatewayRequest request) {
        return request.service()
                .engine()
                .map(engine -> DurationEstimate.ofCompletion(request.cost(), engine))
                .orElseGet(() -> DurationEstimate.ofPlainCall(request.route().latencyTarget()));
    }
}
