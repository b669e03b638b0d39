package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.HelperAddress;

/**
 * Reserves memory on all helper engines of a spanning prompt or on none, in the order of the
 * engines' identifiers. The reservation is extended while the request uses it or may still begin
 * soon, and released at its end; otherwise it expires. Confined to the event loop.
 */
final class HelperMemoryReservation {

    /**
     * Time in which a reservation without a response is repeated if no other engine has the memory.
     * A running engine may be silent for a second or so, and this is more than twice that.
     */
    private static final Duration MAX_ACQUISITION = Duration.ofMillis(2500);

    private static final int HTTP_OK = 200;

    private final ForwardingContext mContext;
    private final String mId;
    private final List<Upstream> mHelpers;
    private final long mTokens;
    private final List<Upstream> mContacted = new ArrayList<>();
    private final ReservationRecord mRecord;
    private final ReservationRelease mRelease;
    private final ReservationExtension mExtension;
    private final long mStartNanos;
    private Outcome mOutcome;

    /**
     * Creates a reservation; {@link #acquire} reserves the memory.
     *
     * @param id identifier, unique across instances
     * @param tokens memory on each engine, in tokens
     */
    HelperMemoryReservation(
            ForwardingContext context, String id, List<Upstream> helpers, long tokens) {
        mContext = context;
        mId = id;
        mHelpers = List.copyOf(helpers);
        mTokens = tokens;
        mRecord = new ReservationRecord(context, id, tokens);
        mRelease = new ReservationRelease(context, id, mRecord);
        mExtension =
                new ReservationExtension(
                        context, id, tokens, mRelease, mRecord, this::limitReached);
        mStartNanos = context.clock().nanoTime();
    }

    /** Receives the outcome of a reservation. */
    interface Outcome {

        /** Returns true if the request can be placed without the engine, which does not respond. */
        boolean isReplaceable(Upstream helper);

        /** Called when all engines have reserved the memory. */
        void reserved(List<HelperAddress> helpers);

        /** Called when the engine has not reserved the memory; the other engines release theirs. */
        void refused(Upstream helper);

        /** Called when the memory was released because the request has not used it. */
        void unused();

        /** Called when the memory was released because no engine runs the request any more. */
        void useEnded();
    }

    /** Reserves memory on all engines and reports the outcome, unless it is released before. */
    void acquire(Outcome outcome) {
        mOutcome = outcome;
        acquireNext(0);
    }

    /** Records that the request was sent to its first engine. */
    void requestSent(Upstream engine) {
        mExtension.requestSent(engine);
    }

    /** Records that an event of the stream has arrived. */
    void tokenReceived() {
        mExtension.tokenReceived();
    }

    /** Records that reading from the first engine is paused. */
    void readingPaused() {
        mExtension.readingPaused();
    }

    /** Releases the reserved memory; further calls have no effect. */
    void release() {
        release(ReservationRecord.Reason.ATTEMPT_ENDED);
    }

    private void release(ReservationRecord.Reason reason) {
        if (mRelease.hasBegun()) {
            return;
        }
        mExtension.stop();
        mRelease.begin(mContacted);
        mRecord.released(reason, mContacted.size());
    }

    private void limitReached(ReservationRecord.Reason reason) {
        release(reason);
        if (reason == ReservationRecord.Reason.USE_ENDED) {
            mOutcome.useEnded();
        } else {
            mOutcome.unused();
        }
    }

    private void acquireNext(int index) {
        if (mRelease.hasBegun()) {
            return;
        }
        if (index == mHelpers.size()) {
            mOutcome.reserved(addresses());
            return;
        }
        Upstream helper = mHelpers.get(index);
        // A request without a response may have been accepted, so it is released as well.
        mContacted.add(helper);
        acquire(helper, index);
    }

    private void acquire(Upstream helper, int index) {
        mContext.engineAdmin()
                .reservation(
                        helper.address(),
                        mContext.wire()
                                .reservationRequest(
                                        mId, mTokens, ReservationExtension.TIME_TO_LIVE))
                .onComplete(
                        status -> {
                            mRelease.repeatIfBegun(helper);
                            if (status == HTTP_OK) {
                                // Another engine may respond late.
                                mExtension.add(helper);
                                acquireNext(index + 1);
                            } else {
                                refused(helper, "status " + status);
                            }
                        },
                        failure -> {
                            mRecord.unanswered(helper, "reservation", failure);
                            mRelease.requestUnanswered(helper);
                            if (mayRepeat(helper, failure)) {
                                acquire(helper, index);
                            } else {
                                refused(helper, "no answer");
                            }
                        });
    }

    /** The same identifier reserves no further memory if the engine carries out both requests. */
    private boolean mayRepeat(Upstream helper, Throwable failure) {
        long elapsedNanos = mContext.clock().nanoTime() - mStartNanos;
        return !mRelease.hasBegun()
                && EngineAdminClient.isSilent(failure)
                && elapsedNanos < MAX_ACQUISITION.toNanos()
                && !mOutcome.isReplaceable(helper);
    }

    private void refused(Upstream helper, String reason) {
        mRecord.refused(helper, reason);
        release(ReservationRecord.Reason.NOT_RESERVED);
        mOutcome.refused(helper);
    }

    private List<HelperAddress> addresses() {
        return mHelpers.stream()
                .map(helper -> new HelperAddress(helper.address(), Optional.of(mId)))
                .toList();
    }
}
