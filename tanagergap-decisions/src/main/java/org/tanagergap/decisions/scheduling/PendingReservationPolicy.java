package org.tanagergap.decisions.scheduling;

import java.time.Duration;

/** Decides when memory starts to accumulate for work that does not fit, and when all of it does. */
final class PendingReservationPolicy {

    /**
     * Multiple of the time to a pending reservation after which all released memory accumulates for
     * it.
     */
    private static final int ACCUMULATE_ALL_FACTOR = 3;

    private final MemoryLedger mLedger;
    private final long mPendingAfterNanos;

    PendingReservationPolicy(MemoryLedger ledger, Duration pendingAfter) {
        mLedger = ledger;
        mPendingAfterNanos = pendingAfter.toNanos();
    }

    /**
     * Records that the owner's work does not fit.
     *
     * @param blockedNanos time since it was first found not to fit
     */
    void blocked(Object owner, long tokens, boolean isLong, long blockedNanos) {
        if (blockedNanos >= mPendingAfterNanos) {
            boolean accumulatesAll = blockedNanos >= ACCUMULATE_ALL_FACTOR * mPendingAfterNanos;
            mLedger.startPending(owner, tokens, isLong, accumulatesAll);
        }
    }
}
