package org.tanagergap.decisions.fleet;

import java.time.Duration;

/**
 * Decides how long engine memory stays reserved for a request that does not use it: a request may
 * wait in an engine's queue, or its engine may never begin it, while other requests need the
 * memory. Confined to the event loop.
 */
public final class ReservationUse {

    /** Time for the last extension to reach its engine, which begins the time to live there. */
    private static final Duration EXTENSION_DELAY = Duration.ofMillis(500);

    /** Requests use their memory without sending events for this time in any long prefill. */
    static final Duration CHECK_AFTER = Duration.ofSeconds(2);

    private final Duration mExtendedFor;
    private long mLastUsedNanos;

    /**
     * Begins with the time of the reservation, which is not used yet.
     *
     * @param maxUnused longest time for which memory may be reserved and unused
     * @param timeToLive time after which a reservation expires unless it is extended
     */
    public ReservationUse(Duration maxUnused, Duration timeToLive, long nowNanos) {
        mExtendedFor = maxUnused.minus(timeToLive).minus(EXTENSION_DELAY);
        mLastUsedNanos = nowNanos;
    }

    /** Records that the request uses the memory. */
    public void used(long nowNanos) {
        mLastUsedNanos = nowNanos;
    }

    /** Returns true if the reservation may be extended; otherwise it is to be released. */
    public boolean mayExtend(long nowNanos) {
        return nowNanos - mLastUsedNanos < mExtendedFor.toNanos();
    }

    /** Returns true if an engine should be asked whether the memory is in use. */
    public boolean needsCheck(long nowNanos) {
        return nowNanos - mLastUsedNanos >= CHECK_AFTER.toNanos();
    }
}
