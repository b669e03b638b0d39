package org.tanagergap.decisions.scheduling;

/** Sums over queued items. */
final class Backlog {

    private int mCount;
    private long mMemoryTokens;
    private long mPromptTokens;
    private long mLongPromptTokens;

    void add(QueuedWork work) {
        change(work, 1);
    }

    void remove(QueuedWork work) {
        change(work, -1);
    }

    int count() {
        return mCount;
    }

    long memoryTokens() {
        return mMemoryTokens;
    }

    long promptTokens() {
        return mPromptTokens;
    }

    /** Prompt tokens that are prefilled before new work; long prompts yield to shorter ones. */
    long promptTokensBefore(boolean isLong) {
        return isLong ? mPromptTokens : mPromptTokens - mLongPromptTokens;
    }

    private void change(QueuedWork work, int sign) {
        mCount += sign;
        mMemoryTokens += sign * work.memoryTokens();
        mPromptTokens += sign * work.promptTokens();
        if (work.isLong()) {
            mLongPromptTokens += sign * work.promptTokens();
        }
    }
}
