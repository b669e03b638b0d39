package org.tanagergap.decisions.scheduling;

import java.time.Duration;

/** Starts and strengthens the claim of work that has waited for memory. */
final class PendingReservationPolicy {

    /** Multiple of the time to a claim after which all released memory accrues to it. */
    private static final int ACCUMULATE_ALL_FACTOR = 3;

    private final MemoryLedger mLedger;
    private final long mPendingAfterNanos;

    PendingReservationPolicy(MemoryLedger ledger, Duration pendingAfter) {
        mLedger = ledger;
        mPendingAfterNanos = pendingAfter.toNanos();
    }

    /** Records that the owner's work did not fit, first as long ago as given. */
    void blocked(Object owner, long tokens, boolean isLong, long blockedNanos) {
        if (blockedNanos >= mPendingAfterNanos) {
            boolean accumulatesAll = blockedNanos >= ACCUMULATE_ALL_FACTOR * mPendingAfterNanos;
            mLedger.startPending(owner, tokens, isLong, accumulatesAll);
        }
    }
}
