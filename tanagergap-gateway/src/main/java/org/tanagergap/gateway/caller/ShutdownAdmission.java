package org.tanagergap.gateway.caller;

import java.time.Duration;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.DurationEstimate;
import org.tanagergap.gateway.configuration.RouteKind;

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
     * balancer has noticed the shutdown, a plain call that must not run twice needs all of its
     * time, because its caller could not repeat it after a late failure.
     */
    boolean canFinishInTime(GatewayRequest request) {
        if (mBalancerHasNoticed && request.route().kind() == RouteKind.NON_IDEMPOTENT) {
            return request.deadlineNanos() < mExitNanos;
        }
        return estimate(request).compareTo(remaining()) < 0;
    }

    private static Duration estimate(GatewayRequest request) {
        return request.service()
                .engine()
                .map(engine -> DurationEstimate.ofCompletion(request.cost(), engine))
                .orElseGet(() -> DurationEstimate.ofPlainCall(request.route().latencyTarget()));
    }
}
