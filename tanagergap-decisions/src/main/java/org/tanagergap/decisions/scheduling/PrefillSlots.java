package org.tanagergap.decisions.scheduling;

import java.util.EnumMap;
import java.util.Map;
import org.tanagergap.api.request.LengthBand;

/**
 * Prefill work at the engine by band. Its bound keeps the backlog in the fair queue, where order
 * can still change, instead of in the engine; the separate bounds keep short prompts from waiting
 * for a slot behind longer ones.
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

    /** Whether another prompt of the band may start; one may always start when none is active. */
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

    /** Tokens of the band and shorter ones in prefill. */
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
