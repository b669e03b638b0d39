package org.tanagergap.decisions.scheduling;

import org.tanagergap.api.request.LengthBand;

/** Number and tokens of queued items. */
final class Backlog {

    private int mCount;
    private long mMemoryTokens;
    private final long[] mBandTokens = new long[LengthBand.values().length];

    void add(QueuedItem queued) {
        change(queued, 1);
    }

    void remove(QueuedItem queued) {
        change(queued, -1);
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

    /**
     * Returns the prompt tokens of the band and shorter ones, since longer prompts yield to them.
     */
    long promptTokensUpTo(LengthBand band) {
        long tokens = 0;
        for (int i = 0; i <= band.ordinal(); i++) {
            tokens += mBandTokens[i];
        }
        return tokens;
    }

    private void change(QueuedItem queued, int sign) {
        mCount += sign;
        mMemoryTokens += sign * queued.memoryTokens();
        mBandTokens[queued.band().ordinal()] += sign * queued.promptTokens();
    }
}
