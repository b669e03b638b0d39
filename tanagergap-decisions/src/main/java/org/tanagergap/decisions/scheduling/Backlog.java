package org.tanagergap.decisions.scheduling;

import org.tanagergap.api.request.LengthBand;

/** Sums over queued items. */
final class Backlog {

    private int mCount;
    private long mMemoryTokens;
    private final long[] mBandTokens = new long[LengthBand.values().length];

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

    long promptTokens(LengthBand band) {
        return mBandTokens[band.ordinal()];
    }

    /** Prompt tokens of the band and shorter ones; longer prompts yield to them. */
    long promptTokensUpTo(LengthBand band) {
        long tokens = 0;
        for (int i = 0; i <= band.ordinal(); i++) {
            tokens += mBandTokens[i];
        }
        return tokens;
    }

    private void change(QueuedWork work, int sign) {
        mCount += sign;
        mMemoryTokens += sign * work.memoryTokens();
        mBandTokens[work.band().ordinal()] += sign * work.promptTokens();
    }
}
