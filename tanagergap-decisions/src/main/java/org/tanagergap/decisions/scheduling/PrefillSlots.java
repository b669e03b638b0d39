package org.tanagergap.decisions.scheduling;

import java.util.EnumMap;
import java.util.Map;
import org.tanagergap.api.request.LengthBand;

/**
 * Prompts in prefill at the engine, bounded by length band. The bound keeps the backlog in the fair
 * queue, where the order can still change, instead of in the engine. Each band has its own bound,
 * so that short prompts do not wait for longer ones.
 */
final class PrefillSlots {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<LengthBand, Long> mTokens = new EnumMap<>(LengthBand.class);
    private final PrefillRateEstimator mRate;
    private final SchedulerSettings mSettings;
    private int mLongPrefills;

    PrefillSlots(SchedulerSettings settings, PrefillRateEstimator rate) {
        mSettings = settings;
        mRate = rate;
        for (LengthBand band : LengthBand.values()) {
            mTokens.put(band, 0L);
        }
    }

    /**
     * Returns true if another prompt of the band may start; a short or medium one always may when
     * none of its band is active.
     */
    boolean canStart(LengthBand band) {
        if (band == LengthBand.LONG) {
            return mLongPrefills < mSettings.maxLongPrefills();
        }
        double window =
                mRate.tokensPerSecond() * (mSettings.prefillWindow().toNanos() / NANOS_PER_SECOND);
        return mTokens.get(band) == 0 || mTokens.get(band) < window;
    }

    void started(LengthBand band, long promptTokens) {
        change(band, promptTokens, 1);
    }

    void ended(LengthBand band, long promptTokens) {
        change(band, -promptTokens, -1);
    }

    /** Returns the tokens of the band and shorter ones in prefill. */
    long tokensUpTo(LengthBand band) {
        return backlog().upTo(band);
    }

    PrefillBacklog backlog() {
        return new PrefillBacklog(
                mTokens.get(LengthBand.SHORT),
                mTokens.get(LengthBand.MEDIUM),
                mTokens.get(LengthBand.LONG));
    }

    private void change(LengthBand band, long tokens, int count) {
        mTokens.merge(band, tokens, Long::sum);
        if (band == LengthBand.LONG) {
            mLongPrefills += count;
        }
    }
}
