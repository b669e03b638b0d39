package org.tanagergap.decisions.scheduling;

/** Attempt that was handed to the engine. */
final class RunningWork {

    private final WorkItem mItem;
    private final long mChargedTokens;
    private final long mDispatchedNanos;
    private boolean mPrefilling = true;
    private int mMissingLists;

    RunningWork(QueuedWork work, long nowNanos) {
        mItem = work.item();
        mChargedTokens = work.memoryTokens();
        mDispatchedNanos = nowNanos;
    }

    WorkItem item() {
        return mItem;
    }

    /** Tokens charged to the workspace and rank at dispatch. */
    long chargedTokens() {
        return mChargedTokens;
    }

    long dispatchedNanos() {
        return mDispatchedNanos;
    }

    boolean isPrefilling() {
        return mPrefilling;
    }

    void endPrefill() {
        mPrefilling = false;
    }

    void seenInList() {
        mMissingLists = 0;
    }

    /** Counts a list without the run; returns the number of such lists in succession. */
    int missingInList() {
        return ++mMissingLists;
    }
}
