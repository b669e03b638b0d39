package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides how long engine memory stays reserved for a request. A request may wait in an engine's
 * queue, or its engine may never begin it; and the end of a run may not arrive. The memory is
 * therefore extended for a limited time after the last sign that the request uses it, while other
 * requests need it. Confined to the event loop.
 */
public final class ReservationUse {

    /** Time for an extension to reach its engine, which begins the time to live there. */
    private static final Duration EXTENSION_DELAY = Duration.ofMillis(500);

    /** With the delay of an extension, the time in which a release can be repeated. */
    private static final Duration MIN_TIME_TO_LIVE = Duration.ofMillis(500);

    /** Requests use their memory without sending events for this time in any long prefill. */
    static final Duration CHECK_AFTER = Duration.ofMillis(600);

    /**
     * A report that the memory is not in use has to be repeated after this time, because engines
     * report their state with a delay of some 200 ms.
     */
    static final Duration CONFIRM_AFTER = Duration.ofMillis(500);

    private final ReservationLimits mLimits;
    private final Duration mTimeToLive;
    private long mLastSignNanos;
    private Optional<Long> mSentNanos = Optional.empty();
    private boolean mUsed;
    private Optional<Long> mNotInUseSinceNanos = Optional.empty();

    /**
     * Begins with the time of the reservation, which is not used yet.
     *
     * @param timeToLive time after which a reservation expires unless it is extended
     */
    public ReservationUse(ReservationLimits limits, Duration timeToLive, long nowNanos) {
        mLimits = limits;
        mTimeToLive = timeToLive;
        mLastSignNanos = nowNanos;
    }

    /** Records a sign that the request uses the memory. */
    public void used(long nowNanos) {
        mUsed = true;
        mLastSignNanos = nowNanos;
        mNotInUseSinceNanos = Optional.empty();
    }

    /** Records that the request was sent, before which no engine can know it. */
    public void requestSent(long nowNanos) {
        mSentNanos = Optional.of(nowNanos);
    }

    /** Records that the engines report the memory, and that no request uses it or will use it. */
    public void reportedNotInUse(long nowNanos) {
        boolean known = mSentNanos.filter(sent -> isPast(sent, CHECK_AFTER, nowNanos)).isPresent();
        if (known && mNotInUseSinceNanos.isEmpty()) {
            mNotInUseSinceNanos = Optional.of(nowNanos);
        }
    }

    /** Records that the request may wait in the queue of its engine. */
    public void reportedWaiting() {
        mNotInUseSinceNanos = Optional.empty();
    }

    /** Returns true if the request has used the memory. */
    public boolean hasBegun() {
        return mUsed;
    }

    /**
     * Returns true if the engines report that the request has ended, which may still need
     * confirmation.
     */
    public boolean mayHaveEnded() {
        return mNotInUseSinceNanos.isPresent();
    }

    /** Returns the time to live of an extension, or empty if the memory is to be released. */
    public Optional<Duration> timeToLive(long nowNanos) {
        Duration limit = mUsed ? mLimits.maxAfterUse() : mLimits.maxUnused();
        Duration minimum = mUsed ? MIN_TIME_TO_LIVE : mTimeToLive;
        Duration left = limit.minus(EXTENSION_DELAY).minusNanos(nowNanos - mLastSignNanos);
        if (hasEnded(nowNanos) || left.compareTo(minimum) <= 0) {
            return Optional.empty();
        }
        return Optional.of(left.compareTo(mTimeToLive) < 0 ? left : mTimeToLive);
    }

    /** Returns true if the engines should be asked whether the memory is in use. */
    public boolean needsCheck(long nowNanos) {
        return isPast(mLastSignNanos, CHECK_AFTER, nowNanos);
    }

    /** Returns true if the engines have reported and confirmed that the request has ended. */
    public boolean hasEnded(long nowNanos) {
        return mNotInUseSinceNanos
                .filter(since -> isPast(since, CONFIRM_AFTER, nowNanos))
                .isPresent();
    }

    private static boolean isPast(long sinceNanos, Duration time, long nowNanos) {
        return nowNanos - sinceNanos >= time.toNanos();
    }
}
