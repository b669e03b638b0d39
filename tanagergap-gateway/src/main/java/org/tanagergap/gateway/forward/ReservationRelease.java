package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
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

    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(500);
    private static final int HTTP_OK = 200;

    private final ForwardingContext mContext;
    private final String mId;
    private final ReservationRecord mRecord;
    private final Map<String, Integer> mRequests = new HashMap<>();
    private final Set<String> mConfirmed = new HashSet<>();
    private final Set<String> mWithoutResponse = new HashSet<>();
    private final Set<String> mScheduled = new HashSet<>();
    private boolean mBegun;
    private long mBeginNanos;

    /**
     * Creates a release that has not begun.
     *
     * @param id identifier of the reservation
     */
    ReservationRelease(ForwardingContext context, String id, ReservationRecord record) {
        mContext = context;
        mId = id;
        mRecord = record;
    }

    /** Releases the memory on the engines. */
    void begin(List<Upstream> engines) {
        mBegun = true;
        mBeginNanos = mContext.clock().nanoTime();
        engines.forEach(this::send);
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

    private void send(Upstream engine) {
        mRequests.merge(engine.id(), 1, Integer::sum);
        mContext.engineAdmin()
                .reservation(engine.address(), mContext.wire().releaseRequest(mId))
                .onComplete(
                        status -> {
                            recordStatus(engine, status);
                            if (mWithoutResponse.contains(engine.id())) {
                                schedule(engine);
                            }
                        },
                        failure -> schedule(engine));
    }

    private void recordStatus(Upstream engine, int status) {
        if (status != HTTP_OK) {
            mRecord.releaseRefused(engine, status);
        } else if (mConfirmed.add(engine.id())) {
            long elapsedNanos = mContext.clock().nanoTime() - mBeginNanos;
            mRecord.releaseConfirmed(
                    engine, Duration.ofNanos(elapsedNanos), mRequests.get(engine.id()));
        }
    }

    private void schedule(Upstream engine) {
        boolean mayTakeEffect =
                mContext.clock().nanoTime() - mBeginNanos < LATE_EXECUTION_WINDOW.toNanos();
        if (mayTakeEffect && mScheduled.add(engine.id())) {
            mContext.clock().schedule(REPEAT_INTERVAL, () -> repeat(engine));
        }
    }

    private void repeat(Upstream engine) {
        mScheduled.remove(engine.id());
        send(engine);
    }
}
