package org.tanagergap.gateway.forward;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.decisions.stall.IdleTimeout;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.runtime.log.LogKeys;

/**
 * Records what one attempt shows about the health of its upstream, and whether its prompt may have
 * crashed the engine. Confined to the event loop.
 */
final class AttemptObservations {

    private static final Duration REFUSED_SUSPENSION = Duration.ofMillis(60);
    private static final Duration REPLACED_SUSPENSION = Duration.ofSeconds(3);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ForwardingContext mContext;
    private final RequestLifecycle mLifecycle;
    private final Placement mPlacement;
    private final IdleTimeout mIdleTimeout;
    private boolean mHasEvent;
    private boolean mGenerates;
    private String mLoggedDecision = "";

    AttemptObservations(
            ForwardingContext context,
            RequestLifecycle lifecycle,
            Placement placement,
            IdleTimeout idleTimeout) {
        mContext = context;
        mLifecycle = lifecycle;
        mPlacement = placement;
        mIdleTimeout = idleTimeout;
    }

    /** Records the time in which the connection to the upstream has opened, in ms. */
    void connected(double millis) {
        mContext.view()
                .upstream(mPlacement.upstream())
                .ifPresent(u -> mContext.delays().connected(u.failureDomain(), millis));
    }

    /** Records the time to the first event. */
    void firstEvent(double millis) {
        mHasEvent = true;
        if (mPlacement.firstTokenMillis() > 0 && mPlacement.helpers().isEmpty()) {
            mContext.health()
                    .slowness()
                    .observed(mPlacement.upstream(), mIdleTimeout.slowness(millis), now());
        }
    }

    /** Records an event after the first, which an engine may still send while it crashes. */
    void furtherEvent() {
        if (!mGenerates) {
            mGenerates = true;
            mContext.quarantine().tokensGenerated(mLifecycle.request());
        }
    }

    /** Records a complete stream. */
    void streamEnded() {
        furtherEvent();
        succeeded();
    }

    /** Records a complete response. */
    void succeeded() {
        mContext.health().succeeded(mPlacement.upstream());
    }

    /** Records that the upstream sends nothing. */
    void stalled() {
        mContext.health().stalled(mPlacement.upstream(), now());
    }

    /** Records that the upstream has sent a part of the response. */
    void progressed() {
        mContext.health().progressed(mPlacement.upstream());
    }

    /** Logs that nothing arrived for a time, and what follows from it unless that is unchanged. */
    void logStall(AttemptId attempt, Duration silence, String decision) {
        if (decision.equals(mLoggedDecision)) {
            return;
        }
        mLoggedDecision = decision;
        sLogger.atInfo()
                .with(LogKeys.REQUEST_ID, mLifecycle.exchange().id().value())
                .with(LogKeys.ATTEMPT_ID, attempt.value())
                .with(LogKeys.UPSTREAM, mPlacement.upstream())
                .log("nothing arrived for %d ms: %s", silence.toMillis(), decision);
    }

    /** Counts and logs something that is not a valid response. */
    void responseInvalid(AttemptId attempt, String fault) {
        mContext.metrics().counter("gateway_invalid_responses").inc();
        sLogger.atWarning()
                .atMostEvery(1, TimeUnit.SECONDS)
                .with(LogKeys.REQUEST_ID, mLifecycle.exchange().id().value())
                .with(LogKeys.ATTEMPT_ID, attempt.value())
                .with(LogKeys.UPSTREAM, mPlacement.upstream())
                .log("response is invalid: %s", fault);
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
            case BROKEN -> {
                mContext.health().failed(upstream, now);
                reportLostConnection();
            }
            case REFUSED -> mContext.health().suspend(upstream, REFUSED_SUSPENSION, now);
            case OTHER_UPSTREAM -> mContext.health().suspend(upstream, REPLACED_SUSPENSION, now);
            case NOT_RESERVED, UPSTREAM_LEFT -> {
                // An engine without free memory or about to leave is healthy.
            }
        }
        return upstream;
    }

    /**
     * Returns a consumer of the time since an engine last responded to a probe, which also checks
     * whether the engine has crashed: a machine that crashes closes no connection.
     */
    Consumer<Duration> checkingForCrash(Consumer<Duration> onStall) {
        return silence -> {
            reportLostConnection();
            onStall.accept(silence);
        };
    }

    /** A request that has received tokens is not the cause if its engine crashes later. */
    private void reportLostConnection() {
        if (!mHasEvent && !mLifecycle.responseStarted()) {
            mContext.view()
                    .upstream(mPlacement.upstream())
                    .ifPresent(u -> mContext.quarantine().connectionLost(u, mLifecycle));
        }
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
