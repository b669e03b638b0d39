package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.OptionalLong;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.DurationEstimate;
import org.tanagergap.decisions.fleet.PlacementRequest;
import org.tanagergap.gateway.caller.GatewayRequest;

/** Times until which it is worth sending a request. Confined to the event loop. */
final class RequestTimes {

    private static final long NO_INTER_TOKEN_TARGET_MILLIS = 60_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Duration MIN_PLAIN_SERVICE = Duration.ofMillis(40);

    private final RuntimeClock mClock;
    private final GatewayRequest mRequest;
    private OptionalLong mLastEventNanos = OptionalLong.empty();

    RequestTimes(RuntimeClock clock, GatewayRequest request) {
        mClock = clock;
        mRequest = request;
    }

    /** Records that the caller has received another event. */
    void eventArrived() {
        mLastEventNanos = OptionalLong.of(mClock.nanoTime());
    }

    /** What a placement needs to know now. */
    PlacementRequest placementRequest() {
        long now = mClock.nanoTime();
        double aimLeft = (mRequest.targetNanos() - now) / NANOS_PER_MILLI;
        double timeLeft = (usefulUntilNanos() - now) / NANOS_PER_MILLI;
        double interTokenMillis =
                mRequest.route()
                        .interTokenTarget()
                        .map(Duration::toMillis)
                        .orElse(NO_INTER_TOKEN_TARGET_MILLIS);
        return new PlacementRequest(mRequest.cost(), aimLeft, timeLeft, interTokenMillis);
    }

    /**
     * Time until which the request must be sent to be answered on time. A stream that has begun
     * goes before others, because its caller has the first part already.
     */
    long onTimeUntilNanos() {
        return mLastEventNanos.isPresent()
                ? usefulUntilNanos()
                : mRequest.targetNanos() - minServiceNanos();
    }

    /**
     * Time until which the request must be sent; callers give up on streams that do not begin. One
     * that has begun is never given up before its deadline.
     */
    long usefulUntilNanos() {
        long clientDeadlineNanos =
                mRequest.route()
                        .clientTimeout()
                        .filter(ignored -> mLastEventNanos.isEmpty())
                        .map(p -> mRequest.arrivalNanos() + p.toNanos())
                        .orElse(mRequest.deadlineNanos());
        return Math.min(clientDeadlineNanos, mRequest.deadlineNanos()) - minServiceNanos();
    }

    /** Least time from sending the request to its first event or answer. */
    private long minServiceNanos() {
        Duration minimum =
                mRequest.service()
                        .engine()
                        .map(engine -> DurationEstimate.toFirstToken(mRequest.cost(), engine))
                        .orElse(MIN_PLAIN_SERVICE);
        return minimum.toNanos();
    }
}
