package org.tanagergap.decisions.scheduling;

/**
 * Service beyond its floor that a rank has received in the engine while it has prompts in prefill,
 * in tokens. The credit is limited to one second of the floor: a rank that was served well may be
 * passed over for about a second, so that short bursts of more urgent work are not delayed.
 */
final class FloorCredit {

    private static final double MAX_CREDIT_SECONDS = 1;

    /** Length of the window over which floors are kept for queued work. */
    private static final double MAX_DEBT_SECONDS = 10;

    private double mTokens;
    private boolean mInitialized;
    private int mPrefills;

    void prefillStarted() {
        mPrefills++;
    }

    void prefillEnded() {
        mPrefills--;
    }

    /**
     * Adds service by the engine.
     *
     * @param own tokens served to this rank
     * @param total tokens served to all ranks
     */
    void served(double own, double total, double floor, double tokensPerSecond) {
        double maxTokens = MAX_CREDIT_SECONDS * floor * tokensPerSecond;
        if (!mInitialized) {
            mInitialized = true;
            mTokens = maxTokens;
        }
        double owed = mPrefills > 0 ? floor * total : 0;
        double minTokens = -MAX_DEBT_SECONDS * floor * tokensPerSecond;
        mTokens = Math.max(minTokens, Math.min(maxTokens, mTokens + own - owed));
    }

    /** Returns true if the rank has prompts in prefill and has received less than its floor. */
    boolean isBelowFloor() {
        return mPrefills > 0 && mTokens < 0;
    }
}
