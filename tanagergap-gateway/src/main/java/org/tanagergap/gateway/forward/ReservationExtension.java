package org.tanagergap.gateway.forward;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.fleet.ReservationUse;
import org.tanagergap.gateway.membership.Upstream;

/**
 * Extends a reservation on its engines while the request uses it or may still begin soon. Events of
 * the stream show the use; without them the engines are asked. Confined to the event loop.
 */
final class ReservationExtension {

    /** Unless extended, a reservation expires after this time. */
    static final Duration TIME_TO_LIVE = Duration.ofMillis(3500);

    private static final Duration INTERVAL = Duration.ofMillis(1200);

    /** Applies while the engines do not report that the memory is in use, though it was. */
    private static final Duration INTERVAL_WITHOUT_USE = Duration.ofMillis(300);

    /**
     * Time from an extension without a response so far to the next one. An engine that loses what
     * arrives during a silence must get an extension before the time to live ends.
     */
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(300);

    private static final int HTTP_OK = 200;

    private final ForwardingContext mContext;
    private final String mId;
    private final long mTokens;
    private final ReservationRelease mRelease;
    private final ReservationRecord mRecord;
    private final Consumer<ReservationRecord.Reason> mOnLimit;
    private final ReservationUse mUse;
    private final ReservationUseCheck mCheck;
    private final RepeatedEngineRequests mRequests;
    private final List<Upstream> mEngines = new ArrayList<>();
    private Optional<Upstream> mFirst = Optional.empty();
    private boolean mReadingWasPaused;
    private Timer mTimer = () -> {};

    /**
     * Creates an extension without engines.
     *
     * @param id identifier of the reservation
     * @param tokens memory on each engine, in tokens
     * @param release ends the extension when it begins
     * @param onLimit receives the reason when the memory may not be extended any more
     */
    ReservationExtension(
            ForwardingContext context,
            String id,
            long tokens,
            ReservationRelease release,
            ReservationRecord record,
            Consumer<ReservationRecord.Reason> onLimit) {
        mContext = context;
        mId = id;
        mTokens = tokens;
        mRelease = release;
        mRecord = record;
        mOnLimit = onLimit;
        mUse = new ReservationUse(context.reservationLimits(), TIME_TO_LIVE, now());
        mCheck = new ReservationUseCheck(context, id, record);
        mRequests =
                new RepeatedEngineRequests(
                        context.clock(), () -> REPEAT_INTERVAL, this::send, new Responses());
    }

    /** Adds an engine that has reserved memory; the first one starts the extension. */
    void add(Upstream engine) {
        mEngines.add(engine);
        if (mEngines.size() == 1 && !mRelease.hasBegun()) {
            schedule(INTERVAL);
        }
    }

    /** Records that the request was sent to an engine, which may have it in its queue. */
    void requestSent(Upstream engine) {
        mFirst = Optional.of(engine);
        mUse.requestSent(now());
    }

    /** Records an event of the stream. */
    void tokenReceived() {
        mRecord.tokenReceived();
        if (!mReadingWasPaused) {
            used();
        }
    }

    /**
     * Records that reading is paused: events that are read later may have been sent long before.
     */
    void readingPaused() {
        mReadingWasPaused = true;
    }

    void stop() {
        mTimer.cancel();
    }

    private void used() {
        mUse.used(now());
        mRecord.used();
    }

    private void tick() {
        if (endsAtLimit()) {
            return;
        }
        if (mUse.needsCheck(now())) {
            mCheck.ask(mEngines, mFirst).onSuccess(this::checked);
        } else {
            extendAll();
            schedule(INTERVAL);
        }
    }

    /** Extends the memory unless the engines report that the request has ended. */
    private void checked(ReservationUseCheck.Result result) {
        if (mRelease.hasBegun()) {
            return;
        }
        recordCheck(result);
        if (endsAtLimit()) {
            return;
        }
        if (!mUse.mayHaveEnded()) {
            extendAll();
        }
        boolean used = result == ReservationUseCheck.Result.IN_USE;
        boolean begins = !mUse.hasBegun() && !mUse.mayHaveEnded();
        schedule(used || begins ? INTERVAL : INTERVAL_WITHOUT_USE);
    }

    private void recordCheck(ReservationUseCheck.Result result) {
        switch (result) {
            case IN_USE -> used();
            case WAITING -> mUse.reportedWaiting();
            case NOT_IN_USE -> mUse.reportedNotInUse(now());
            case UNKNOWN -> {
                // The time since the last sign of use decides.
            }
        }
    }

    private boolean endsAtLimit() {
        if (mUse.timeToLive(now()).isPresent()) {
            return false;
        }
        boolean ended = mUse.hasBegun() || mUse.hasEnded(now());
        mOnLimit.accept(
                ended ? ReservationRecord.Reason.USE_ENDED : ReservationRecord.Reason.UNUSED);
        return true;
    }

    private void extendAll() {
        mEngines.forEach(mRequests::send);
        mRecord.extended();
    }

    private Optional<Future<Integer>> send(Upstream engine) {
        if (mRelease.hasBegun()) {
            return Optional.empty();
        }
        return mUse.timeToLive(now())
                .map(timeToLive -> mContext.wire().reservationRequest(mId, mTokens, timeToLive))
                .map(request -> mContext.engineAdmin().reservation(engine.address(), request));
    }

    private void schedule(Duration delay) {
        mTimer = mContext.clock().schedule(delay, this::tick);
    }

    private long now() {
        return mContext.clock().nanoTime();
    }

    private final class Responses implements RepeatedEngineRequests.Listener {

        @Override
        public void answered(Upstream engine, int status) {
            mRelease.repeatIfBegun(engine);
            if (status != HTTP_OK) {
                mRecord.extensionRefused(engine, status);
            }
        }

        @Override
        public void unanswered(Upstream engine, Throwable failure) {
            mRecord.unanswered(engine, "extension", failure);
            mRelease.requestUnanswered(engine);
        }
    }
}
