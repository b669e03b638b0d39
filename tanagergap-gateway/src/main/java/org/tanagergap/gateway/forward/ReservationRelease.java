package org.tanagergap.gateway.forward;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.gateway.membership.Upstream;

/**
 * Releases the memory that a reservation has on helper engines. A reservation request without a
 * response may be carried out seconds later and reserve the memory again, so the release is
 * repeated until that can no longer happen. Confined to the event loop.
 */
final class ReservationRelease {

    /** Administrative requests without a response are carried out at most this much later. */
    private static final Duration LATE_EXECUTION_WINDOW = Duration.ofSeconds(13);

    /** Applies until the memory expires by itself, unless late requests renew it. */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(300);

    private static final Duration LATER_REPEAT_INTERVAL = Duration.ofMillis(500);
    private static final int HTTP_OK = 200;

    private final ForwardingContext mContext;
    private final String mId;
    private final ReservationRecord mRecord;
    private final RepeatedEngineRequests mRequests;
    private final Map<String, Integer> mSent = new HashMap<>();
    private final Set<String> mConfirmed = new HashSet<>();
    private final Set<String> mWithoutResponse = new HashSet<>();
    private final Set<String> mScheduled = new HashSet<>();
    private boolean mBegun;
    private long mBeginNanos;
    private int mEngines;

    /**
     * Creates a release that has not begun.
     *
     * @param id identifier of the reservation
     */
    ReservationRelease(ForwardingContext context, String id, ReservationRecord record) {
        mContext = context;
        mId = id;
        mRecord = record;
        mRequests =
                new RepeatedEngineRequests(
                        context.clock(), this::interval, this::send, new Responses());
    }

    /** Releases the memory on the engines. */
    void begin(List<Upstream> engines) {
        mBegun = true;
        mBeginNanos = mContext.clock().nanoTime();
        mEngines = engines.size();
        mContext.unconfirmedReleases().add(this);
        engines.forEach(mRequests::send);
        completeIfConfirmed();
    }

    boolean hasBegun() {
        return mBegun;
    }

    /** Records that a reservation request at the engine got no response. */
    void requestUnanswered(Upstream engine) {
        mWithoutResponse.add(engine.id());
        // The release may have been answered before this failure was known.
        repeatIfBegun(engine);
    }

    /**
     * Repeats the release after a response to a reservation request: another connection may have
     * carried the release to the engine before that request.
     */
    void repeatIfBegun(Upstream engine) {
        if (mBegun) {
            schedule(engine);
        }
    }

    private Optional<Future<Integer>> send(Upstream engine) {
        if (elapsed().compareTo(LATE_EXECUTION_WINDOW) >= 0) {
            mContext.unconfirmedReleases().remove(this);
            return Optional.empty();
        }
        mSent.merge(engine.id(), 1, Integer::sum);
        return Optional.of(
                mContext.engineAdmin()
                        .reservation(engine.address(), mContext.wire().releaseRequest(mId)));
    }

    private Duration interval() {
        return elapsed().compareTo(ReservationExtension.TIME_TO_LIVE) < 0
                ? REPEAT_INTERVAL
                : LATER_REPEAT_INTERVAL;
    }

    private void schedule(Upstream engine) {
        if (mScheduled.add(engine.id())) {
            mContext.clock().schedule(LATER_REPEAT_INTERVAL, () -> repeat(engine));
        }
    }

    private void repeat(Upstream engine) {
        mScheduled.remove(engine.id());
        mRequests.send(engine);
    }

    private void completeIfConfirmed() {
        if (mConfirmed.size() == mEngines) {
            mContext.unconfirmedReleases().remove(this);
        }
    }

    private Duration elapsed() {
        return Duration.ofNanos(mContext.clock().nanoTime() - mBeginNanos);
    }

    /** Repeats the release while it was refused or a late request may reserve the memory again. */
    private final class Responses implements RepeatedEngineRequests.Listener {

        @Override
        public void answered(Upstream engine, int status) {
            if (status != HTTP_OK) {
                mRecord.releaseRefused(engine, status);
                schedule(engine);
                return;
            }
            if (mConfirmed.add(engine.id())) {
                mRecord.releaseConfirmed(engine, elapsed(), mSent.get(engine.id()));
                completeIfConfirmed();
            }
            if (mWithoutResponse.contains(engine.id())) {
                schedule(engine);
            }
        }

        @Override
        public void unanswered(Upstream engine, Throwable failure) {
            // The request is being repeated.
        }
    }
}
