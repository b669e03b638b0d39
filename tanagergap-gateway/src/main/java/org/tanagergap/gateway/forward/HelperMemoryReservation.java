package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.fleet.ReservationUse;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.HelperAddress;
import org.tanagergap.gateway.wire.ReservationState;

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

    private static final Duration TIME_TO_LIVE = Duration.ofMillis(3500);
    private static final Duration EXTENSION_INTERVAL = Duration.ofMillis(1200);

    /**
     * Time from an extension without a response so far to the next one. An engine that loses what
     * arrives during a silence must get an extension before the time to live ends.
     */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(300);

    private static final int HTTP_OK = 200;

    private final ForwardingContext mContext;
    private final String mId;
    private final List<Upstream> mHelpers;
    private final long mTokens;
    private final List<Upstream> mContacted = new ArrayList<>();
    private final List<Upstream> mReserved = new ArrayList<>();
    private final ReservationRelease mRelease;
    private final Map<String, Timer> mExtending = new HashMap<>();
    private final long mStartNanos;
    private final ReservationUse mUse;
    private final ReservationRecord mRecord;
    private Outcome mOutcome;
    private int mExtensions;
    private Timer mTimer = () -> {};

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
        mStartNanos = context.clock().nanoTime();
        mUse = new ReservationUse(context.maxUnusedReservation(), TIME_TO_LIVE, mStartNanos);
    }

    /** Receives the outcome of a reservation. */
    interface Outcome {

        /** Returns true if the request can be placed without the engine, which does not respond. */
        boolean isReplaceable(Upstream helper);

        /** Called when all engines have reserved the memory. */
        void reserved(List<HelperAddress> helpers);

        /** Called when the engine has not reserved the memory; the other engines release theirs. */
        void refused(Upstream helper);

        /** Called when the memory was released because the request does not use it. */
        void unused();
    }

    /** Reserves memory on all engines and reports the outcome, unless it is released before. */
    void acquire(Outcome outcome) {
        mOutcome = outcome;
        acquireNext(0);
    }

    /** Records that the request generates tokens and therefore uses the memory. */
    void tokenReceived() {
        mUse.used(mContext.clock().nanoTime());
        mRecord.tokenReceived();
    }

    /** Releases the reserved memory; further calls have no effect. */
    void release() {
        release(ReservationRecord.Reason.ATTEMPT_ENDED);
    }

    private void release(ReservationRecord.Reason reason) {
        if (mRelease.hasBegun()) {
            return;
        }
        mTimer.cancel();
        mRelease.begin(mContacted);
        mRecord.released(reason, mContacted.size());
    }

    private void recordNoResponse(Upstream helper, String operation, Throwable failure) {
        mRecord.unanswered(helper, operation, failure);
        mRelease.requestUnanswered(helper);
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
                        mContext.wire().reservationRequest(mId, mTokens, TIME_TO_LIVE))
                .onComplete(
                        status -> {
                            mRelease.repeatIfBegun(helper);
                            if (status == HTTP_OK) {
                                acquired(helper);
                                acquireNext(index + 1);
                            } else {
                                refused(helper, "status " + status);
                            }
                        },
                        failure -> {
                            recordNoResponse(helper, "reservation", failure);
                            if (mayRepeat(helper, failure)) {
                                acquire(helper, index);
                            } else {
                                refused(helper, "no answer");
                            }
                        });
    }

    /** Extends the memory from the first engine on, because another one may respond late. */
    private void acquired(Upstream helper) {
        mReserved.add(helper);
        if (mReserved.size() == 1 && !mRelease.hasBegun()) {
            mTimer = mContext.clock().schedule(EXTENSION_INTERVAL, this::extend);
        }
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

    private void extend() {
        if (mRelease.hasBegun()) {
            return;
        }
        long now = mContext.clock().nanoTime();
        if (!mUse.mayExtend(now)) {
            release(ReservationRecord.Reason.UNUSED);
            mOutcome.unused();
            return;
        }
        if (mUse.needsCheck(now)) {
            checkUse(mReserved.get(mExtensions % mReserved.size()));
        }
        mReserved.stream()
                .filter(helper -> !mExtending.containsKey(helper.id()))
                .forEach(this::extendUntilAnswered);
        mExtensions++;
        mRecord.extended();
        mTimer = mContext.clock().schedule(EXTENSION_INTERVAL, this::extend);
    }

    private void extendUntilAnswered(Upstream helper) {
        if (mRelease.hasBegun() || !mUse.mayExtend(mContext.clock().nanoTime())) {
            mExtending.remove(helper.id());
            return;
        }
        Timer repeat =
                mContext.clock().schedule(REPEAT_INTERVAL, () -> extendUntilAnswered(helper));
        mExtending.put(helper.id(), repeat);
        mContext.engineAdmin()
                .reservation(
                        helper.address(),
                        mContext.wire().reservationRequest(mId, mTokens, TIME_TO_LIVE))
                .onComplete(
                        status -> recordExtension(helper, status),
                        failure -> recordNoResponse(helper, "extension", failure));
    }

    /** Asks an engine whether the request uses its reservation, as a long prefill does. */
    private void checkUse(Upstream helper) {
        mContext.engineAdmin()
                .status(helper.address())
                .map(response -> mContext.wire().reservationState(response.body(), mId))
                .onSuccess(state -> recordState(helper, state))
                .onFailure(failure -> mRecord.unanswered(helper, "report", failure));
    }

    private void recordState(Upstream helper, Optional<ReservationState> state) {
        mRecord.reported(helper, state.map(ReservationState::description).orElse("not listed"));
        if (state.filter(ReservationState.USED::equals).isPresent()) {
            mUse.used(mContext.clock().nanoTime());
            mRecord.used();
        }
    }

    private void recordExtension(Upstream helper, int status) {
        Optional.ofNullable(mExtending.remove(helper.id())).ifPresent(Timer::cancel);
        mRelease.repeatIfBegun(helper);
        if (status != HTTP_OK) {
            mRecord.extensionRefused(helper, status);
        }
    }

    private List<HelperAddress> addresses() {
        return mHelpers.stream()
                .map(helper -> new HelperAddress(helper.address(), Optional.of(mId)))
                .toList();
    }
}
