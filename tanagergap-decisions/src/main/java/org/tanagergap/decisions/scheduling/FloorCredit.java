package org.tanagergap.decisions.scheduling;

/**
 * Service that a rank has received in the engine beyond its floor, in tokens, while it has prompts
 * in prefill. The bounds make it a memory of a second: a rank that was served well may be passed
 * over for about a second, so that short bursts of more urgent work are not delayed.
 */
final class FloorCredit {

    private static final double MAX_CREDIT_SECONDS = 1;

    /** The window over which floors are kept for queued work is as long. */
    private static final double MAX_DEBT_SECONDS = 10;

    private double mTokens;
    private boolean mUsed;
    private int mPrefills;

    void entered() {
        mPrefills++;
    }

    void left() {
        mPrefills--;
    }

    /**
     * Counts service of the engine.
     *
     * @param own tokens served to this rank
     * @param total tokens served to all ranks
     */
    void served(double own, double total, double floor, double tokensPerSecond) {
        double most = MAX_CREDIT_SECONDS * floor * tokensPerSecond;
        if (!mUsed) {
            mUsed = true;
            mTokens = most;
        }
        double owed = mPrefills > 0 ? floor * total : 0;
        double least = -MAX_DEBT_SECONDS * floor * tokensPerSecond;
        mTokens = Math.max(least, Math.min(most, mTokens + own - owed));
    }

    /** Whether the rank has received less than its floor. */
    boolean isOwed() {
        return mPrefills > 0 && mTokens < 0;
    }
}
