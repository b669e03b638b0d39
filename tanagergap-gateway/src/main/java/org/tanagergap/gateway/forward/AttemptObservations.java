package org.tanagergap.gateway.forward;

import java.time.Duration;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.gateway.membership.Upstream;

/** Records what one attempt shows about the health of its upstream. Confined to the event loop. */
final class AttemptObservations {

    private static final Duration REFUSED_SUSPENSION = Duration.ofMillis(60);
    private static final Duration REPLACED_SUSPENSION = Duration.ofSeconds(3);

    private final ForwardingContext mContext;
    private final Placement mPlacement;
    private final UpstreamIdleTimeout mIdleTimeout;

    AttemptObservations(
            ForwardingContext context, Placement placement, UpstreamIdleTimeout idleTimeout) {
        mContext = context;
        mPlacement = placement;
        mIdleTimeout = idleTimeout;
    }

    /** Records the time to the first event. */
    void firstEvent(double millis) {
        if (mPlacement.firstTokenMillis() > 0 && mPlacement.helpers().isEmpty()) {
            mContext.health()
                    .firstTokenObserved(mPlacement.upstream(), mIdleTimeout.slowness(millis));
        }
    }

    /** Records a complete response. */
    void succeeded() {
        mContext.health().succeeded(mPlacement.upstream());
    }

    /** Records that the upstream does not respond. */
    void unresponsive() {
        mContext.health().unreachable(mPlacement.upstream(), now());
    }

    /**
     * Records a failure.
     *
     * @return the upstream at fault, which may be a helper engine
     */
    String failed(CallFailure failure) {
        String upstream = upstreamAtFault(failure);
        long now = now();
        switch (failure.kind()) {
            case NOT_CONNECTED -> mContext.health().unreachable(upstream, now);
            case BROKEN -> mContext.health().failed(upstream, now);
            case REFUSED -> mContext.health().suspend(upstream, REFUSED_SUSPENSION, now);
            case OTHER_UPSTREAM -> mContext.health().suspend(upstream, REPLACED_SUSPENSION, now);
            case SILENT, NOT_RESERVED -> {
                // SILENT was recorded as unresponsive; an engine without free memory is healthy.
            }
        }
        return upstream;
    }

    private String upstreamAtFault(CallFailure failure) {
        return failure.faultyAddress()
                .flatMap(mContext.view()::upstreamAt)
                .map(Upstream::id)
                .orElse(mPlacement.upstream());
    }

    private long now() {
        return mContext.clock().nanoTime();
    }
}
