package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.OptionalLong;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.DurationEstimate;
import org.tanagergap.decisions.fleet.PlacementRequest;
import org.tanagergap.gateway.caller.GatewayRequest;

/** Latest times at which dispatching a request still makes sense. Confined to the event loop. */
final class RequestTimes {

    private static final long DEFAULT_INTER_TOKEN_TARGET_MILLIS = 60_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Duration MIN_PLAIN_SERVICE_TIME = Duration.ofMillis(40);

    private final RuntimeClock mClock;
    private final GatewayRequest mRequest;
    private OptionalLong mLastEventNanos = OptionalLong.empty();

    RequestTimes(RuntimeClock clock, GatewayRequest request) {
        mClock = clock;
        mRequest = request;
    }

    /** Records that another event has arrived for the caller. */
    void eventArrived() {
        mLastEventNanos = OptionalLong.of(mClock.nanoTime());
    }

    /**
     * Describes the request for a placement at the current time.
     *
     * @param unreported expected number of requests that other instances have placed and not yet
     *     reported
     */
    PlacementRequest placementRequest(double unreported) {
        long now = mClock.nanoTime();
        double firstTokenSlackMillis = (mRequest.targetNanos() - now) / NANOS_PER_MILLI;
        double timeToDeadlineMillis = (latestDispatchNanos() - now) / NANOS_PER_MILLI;
        double interTokenTargetMillis =
                mRequest.route()
                        .interTokenTarget()
                        .map(Duration::toMillis)
                        .orElse(DEFAULT_INTER_TOKEN_TARGET_MILLIS);
        return new PlacementRequest(
                mRequest.cost(),
                firstTokenSlackMillis,
                timeToDeadlineMillis,
                interTokenTargetMillis,
                unreported);
    }

    /**
     * Returns the latest dispatch time at which the request still meets its target. A stream that
     * has begun takes precedence until its latest dispatch time, because its caller has already
     * received the first part.
     */
    long latestDispatchForTargetNanos() {
        return mLastEventNanos.isPresent()
                ? latestDispatchNanos()
                : mRequest.targetNanos() - minServiceNanos();
    }

    /**
     * Returns the latest dispatch time at which the response is still useful. Callers give up on a
     * stream that does not begin within the client timeout; one that has begun is useful until its
     * deadline.
     */
    long latestDispatchNanos() {
        long clientDeadlineNanos =
                mRequest.route()
                        .clientTimeout()
                        .filter(ignored -> mLastEventNanos.isEmpty())
                        .map(p -> mRequest.arrivalNanos() + p.toNanos())
                        .orElse(mRequest.deadlineNanos());
        return Math.min(clientDeadlineNanos, mRequest.deadlineNanos()) - minServiceNanos();
    }

    /** Minimum time from the dispatch to the first event or the response. */
    private long minServiceNanos() {
        Duration minimum =
                mRequest.service()
                        .engine()
                        .map(engine -> DurationEstimate.toFirstToken(mRequest.cost(), engine))
                        .orElse(MIN_PLAIN_SERVICE_TIME);
        return minimum.toNanos();
    }
}
