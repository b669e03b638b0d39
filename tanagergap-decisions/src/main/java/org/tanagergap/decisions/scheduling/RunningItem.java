package org.tanagergap.decisions.scheduling;

import java.util.Comparator;

/** Attempt that was dispatched to the engine. */
final class RunningItem {

    /** Order in which the engine prefills. */
    static final Comparator<RunningItem> BY_ENGINE_ORDER =
            Comparator.comparingInt((RunningItem r) -> r.mPriority)
                    .thenComparingLong(r -> r.mSequence);

    private final WorkItem mItem;
    private final RankQueue mRank;
    private final long mChargedTokens;
    private final long mDispatchedNanos;
    private final int mPriority;
    private final long mSequence;
    private double mPrefillLeft;
    private double mServedBefore;
    private boolean mStartedAlone;
    private long mOutputStartNanos;
    private boolean mPrefilling = true;
    private int mMissingLists;

    RunningItem(QueuedItem queued, RankQueue rank, long sequence, long nowNanos) {
        mItem = queued.item();
        mRank = rank;
        mChargedTokens = queued.memoryTokens();
        mDispatchedNanos = nowNanos;
        mPriority = EnginePriority.of(mItem);
        mSequence = sequence;
        mPrefillLeft = queued.promptTokens();
    }

    WorkItem item() {
        return mItem;
    }

    RankQueue rank() {
        return mRank;
    }

    /** Returns the tokens charged to the workspace at dispatch. */
    long chargedTokens() {
        return mChargedTokens;
    }

    long dispatchedNanos() {
        return mDispatchedNanos;
    }

    int priority() {
        return mPriority;
    }

    /** Returns the estimated prompt tokens that the engine has not prefilled yet. */
    double prefillLeft() {
        return mPrefillLeft;
    }

    void prefilled(double tokens) {
        mPrefillLeft -= tokens;
    }

    /**
     * Returns the tokens of this and higher priorities that the engine had prefilled at dispatch.
     */
    double servedBefore() {
        return mServedBefore;
    }

    /** Returns true if no other prompt was in prefill at dispatch. */
    boolean startedAlone() {
        return mStartedAlone;
    }

    void setServedBefore(double tokens, boolean startedAlone) {
        mServedBefore = tokens;
        mStartedAlone = startedAlone;
    }

    boolean isPrefilling() {
        return mPrefilling;
    }

    void endPrefill(long nowNanos) {
        mPrefilling = false;
        mOutputStartNanos = nowNanos;
    }

    /** Returns the time of the first token, moved by the pauses in the output. */
    long outputStartNanos() {
        return mOutputStartNanos;
    }

    void outputPaused(long pauseNanos) {
        mOutputStartNanos += pauseNanos;
    }

    void seenInList() {
        mMissingLists = 0;
    }

    /**
     * Counts a list without the run.
     *
     * @return number of consecutive lists without the run
     */
    int missingInList() {
        return ++mMissingLists;
    }
}
