package org.tanagergap.gateway.forward;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.tanagergap.gateway.membership.Upstream;

/** Logs and measures one reservation of engine memory. Confined to the event loop. */
final class ReservationRecord {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ForwardingContext mContext;
    private final String mId;
    private final long mTokens;
    private final long mStartNanos;
    private OptionalLong mFirstTokenNanos = OptionalLong.empty();
    private OptionalLong mLastUseNanos = OptionalLong.empty();
    private ReservationUseCheck.Result mLastCheck = ReservationUseCheck.Result.IN_USE;
    private int mExtensions;

    /** Why memory is released. */
    enum Reason {
        ATTEMPT_ENDED("the attempt has ended"),
        NOT_RESERVED("an engine has not reserved it"),
        UNUSED("no request has used it for too long"),
        USE_ENDED("no engine runs the request any more");

        private final String mDescription;

        Reason(String description) {
            mDescription = description;
        }
    }

    /**
     * Begins with the time of the reservation.
     *
     * @param id identifier of the reservation
     * @param tokens memory on each engine, in tokens
     */
    ReservationRecord(ForwardingContext context, String id, long tokens) {
        mContext = context;
        mId = id;
        mTokens = tokens;
        mStartNanos = now();
    }

    /** Records an event of the stream. */
    void tokenReceived() {
        if (mFirstTokenNanos.isEmpty()) {
            mFirstTokenNanos = OptionalLong.of(now());
        }
    }

    /** Records a sign that the request uses the memory. */
    void used() {
        mLastUseNanos = OptionalLong.of(now());
    }

    /** Records that the memory is extended. */
    void extended() {
        mExtensions++;
    }

    /** Records a response that does not extend the memory. */
    void extensionRefused(Upstream engine, int status) {
        sLogger.atInfo().log(
                "extension of %d tokens for attempt %s at %s got status %d",
                mTokens, mId, engine.id(), status);
    }

    void refused(Upstream engine, String reason) {
        sLogger.atInfo().log(
                "%d tokens for %s are not to be had at %s: %s", mTokens, mId, engine.id(), reason);
    }

    void unanswered(Upstream engine, String operation, Throwable failure) {
        sLogger.atInfo().log(
                "%s of %d tokens for attempt %s at %s got no response: %s",
                operation, mTokens, mId, engine.id(), failure.getMessage());
    }

    /** Records what the engines report, unless it is unchanged. */
    void checked(ReservationUseCheck.Result result) {
        if (result != mLastCheck) {
            mLastCheck = result;
            sLogger.atInfo().log("reservation of attempt %s: %s", mId, result.description());
        }
    }

    /** Records the begin of the release on a number of engines. */
    void released(Reason reason, int engines) {
        long now = now();
        long unusedMillis = millis(mFirstTokenNanos.orElse(now) - mStartNanos);
        histogram("gateway_reservation_before_first_token_ms", unusedMillis);
        mLastUseNanos.ifPresent(
                used -> histogram("gateway_reservation_after_last_use_ms", millis(now - used)));
        sLogger.atInfo().log(
                "reservation of %d tokens on each of %d engines for attempt %s released after %d ms"
                        + " and %d extensions, because %s; %s, %s",
                mTokens,
                engines,
                mId,
                millis(now - mStartNanos),
                mExtensions,
                reason.mDescription,
                mFirstTokenNanos.isPresent()
                        ? "first token after " + unusedMillis + " ms"
                        : "no token received",
                mLastUseNanos.isPresent()
                        ? "last use " + millis(now - mLastUseNanos.getAsLong()) + " ms ago"
                        : "not known to be used");
    }

    /**
     * Records the first confirmation that an engine has released the memory.
     *
     * @param requests number of requests that this took
     */
    void releaseConfirmed(Upstream engine, Duration elapsed, int requests) {
        histogram("gateway_reservation_release_ms", elapsed.toMillis());
        if (requests > 1) {
            sLogger.atInfo().log(
                    "%s confirmed the release of attempt %s after %d ms and %d requests",
                    engine.id(), mId, elapsed.toMillis(), requests);
        }
    }

    /** Records that an engine has responded to a release with a status other than success. */
    void releaseRefused(Upstream engine, int status) {
        sLogger.atInfo().log("release of attempt %s at %s got status %d", mId, engine.id(), status);
    }

    private void histogram(String name, long value) {
        mContext.metrics().histogram(name).update(value);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private long now() {
        return mContext.clock().nanoTime();
    }
}
