package org.tanagergap.decisions.fleet;

import java.time.Duration;

/**
 * Decides how long engine memory stays reserved for a request that does not use it: a request may
 * wait in an engine's queue, or its engine may never begin it, while other requests need the
 * memory. Confined to the event loop.
 */
public final class ReservationUse {

    /**
     * A reservation is extended while it has been unused for less than this time. Together with the
     * time to live of the last extension it stays below 9 s, the bound of the first platform.
     */
    static final Duration MAX_UNUSED = Duration.ofSeconds(5);

    /** Requests use their memory without sending events for this time in any long prefill. */
    static final Duration CHECK_AFTER = Duration.ofSeconds(2);

    private long mLastUsedNanos;

    /** Begins with the time of the reservation, which is not used yet. */
    public ReservationUse(long nowNanos) {
        mLastUsedNanos = nowNanos;
    }

    /** Records that the request uses the memory. */
    public void used(long nowNanos) {
        mLastUsedNanos = nowNanos;
    }

    /** Returns true if the reservation may be extended; otherwise it is to be released. */
    public boolean mayExtend(long nowNanos) {
        return nowNanos - mLastUsedNanos < MAX_UNUSED.toNanos();
    }

    /** Returns true if an engine should be asked whether the memory is in use. */
    public boolean needsCheck(long nowNanos) {
        return nowNanos - mLastUsedNanos >= CHECK_AFTER.toNanos();
    }
}
