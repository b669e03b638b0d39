package org.tanagergap.decisions.scheduling;

import java.time.Duration;

/** Starts and strengthens the claim of work that has waited for memory. */
final class ClaimPolicy {

    /** Multiple of the time to a claim after which all released memory accrues to it. */
    private static final int ACCRUES_ALL_FACTOR = 3;

    private final MemoryLedger mLedger;
    private final long mClaimAfterNanos;

    ClaimPolicy(MemoryLedger ledger, Duration claimAfter) {
        mLedger = ledger;
        mClaimAfterNanos = claimAfter.toNanos();
    }

    /** Records that the owner's work did not fit, first as long ago as given. */
    void blocked(Object owner, long tokens, boolean isLong, long blockedNanos) {
        if (blockedNanos >= mClaimAfterNanos) {
            boolean accruesAll = blockedNanos >= ACCRUES_ALL_FACTOR * mClaimAfterNanos;
            mLedger.claim(owner, tokens, isLong, accruesAll);
        }
    }
}
