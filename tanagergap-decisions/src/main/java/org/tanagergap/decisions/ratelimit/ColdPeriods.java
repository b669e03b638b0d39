package org.tanagergap.decisions.ratelimit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Times for which upstreams are cold after their start, and the rates of permits that follow. After
 * a cold period the rate grows in steps, so that the load does not return all at once. Confined to
 * the event loop.
 */
final class ColdPeriods {

    /** Shorter than for other permits, because those that are kept add to the next second. */
    static final Duration PERMIT_LIFETIME = Duration.ofMillis(200);

    /** Part of the bound for one group of instances that do not hear from others. */
    static final double MAX_SHARE = 0.5;

    /**
     * Permits of this time can be used in one second: that second, the lifetime of a permit, and
     * 0.1 s for its delivery and that of the request.
     */
    private static final double USABLE_SECONDS = 1.3;

    private static final long STEP_NANOS = Duration.ofMillis(250).toNanos();
    private static final int STEPS = 4;

    /**
     * Permits are issued for this time after the end, because other instances may learn of the end
     * from a later entry than the issuer does.
     */
    private static final long ISSUING_NANOS = Duration.ofSeconds(4).toNanos();

    /** Entries are read this long after they were written, so responses are newer within it. */
    private static final long ENTRY_DELAY_NANOS = Duration.ofSeconds(3).toNanos();

    private static final Duration MAX_REMAINING = Duration.ofHours(1);

    private final Map<String, Period> mPeriods = new HashMap<>();

    private static final class Period {
        private long mEndNanos;
        private Optional<Long> mResponseNanos = Optional.empty();
        private Optional<ColdStartLimit> mLimit = Optional.empty();

        /** Number of steps since the end; negative while the upstream is cold. */
        long step(long nowNanos) {
            return Math.floorDiv(nowNanos - mEndNanos, STEP_NANOS);
        }
    }

    /**
     * Records how long an upstream stays cold.
     *
     * @param remaining zero if it is warm
     * @param limit what it sustains; empty if that is not restricted
     * @param fromResponse true if a response said so, and not the entry in the store
     * @return true if the upstream was warm and is cold now
     */
    boolean observe(
            String upstream,
            Duration remaining,
            Optional<ColdStartLimit> limit,
            boolean fromResponse,
            long nowNanos) {
        expire(nowNanos);
        Period period = mPeriods.get(upstream);
        if (period == null) {
            if (remaining.isZero()) {
                return false;
            }
            period = new Period();
            period.mEndNanos = nowNanos;
            mPeriods.put(upstream, period);
        }
        boolean wasCold = period.step(nowNanos) < 0;
        period.mLimit = limit;
        long endNanos = nowNanos + shortest(remaining, limit).toNanos();
        boolean outdated =
                !fromResponse
                        && endNanos - period.mEndNanos < 0
                        && period.mResponseNanos
                                .filter(nanos -> nowNanos - nanos < ENTRY_DELAY_NANOS)
                                .isPresent();
        // That an upstream is still warm does not change when it became so.
        if (!outdated && (wasCold || !remaining.isZero())) {
            period.mEndNanos = endNanos;
        }
        if (fromResponse) {
            period.mResponseNanos = Optional.of(nowNanos);
        }
        return !wasCold && period.step(nowNanos) < 0;
    }

    private static Duration shortest(Duration remaining, Optional<ColdStartLimit> limit) {
        Duration longest =
                limit.map(ColdStartLimit::duration)
                        .filter(duration -> !duration.isZero())
                        .orElse(MAX_REMAINING);
        return remaining.compareTo(longest) < 0 ? remaining : longest;
    }

    /** Replaces what an upstream sustains while it is cold. */
    void setLimit(String upstream, Optional<ColdStartLimit> limit) {
        Optional.ofNullable(mPeriods.get(upstream)).ifPresent(period -> period.mLimit = limit);
    }

    /** Returns the remaining time for which the upstream is cold; empty if it has no limit. */
    Optional<Duration> remaining(String upstream, long nowNanos) {
        return limited(upstream)
                .filter(period -> period.step(nowNanos) < 0)
                .map(period -> Duration.ofNanos(period.mEndNanos - nowNanos));
    }

    /** Returns true if requests need permits: in the cold period and until the load is restored. */
    boolean isLimited(String upstream, long nowNanos) {
        return limited(upstream).filter(period -> period.step(nowNanos) < STEPS).isPresent();
    }

    /**
     * Returns the rate at which permits are issued; empty if there is no cold period.
     *
     * @param share part of the bound that the instances which hear from each other may use
     */
    OptionalDouble issuedPerSecond(String upstream, double share, long nowNanos) {
        Optional<Period> limited =
                limited(upstream).filter(p -> nowNanos - p.mEndNanos < ISSUING_NANOS);
        if (limited.isEmpty()) {
            return OptionalDouble.empty();
        }
        ColdStartLimit limit = limited.get().mLimit.get();
        double allowed = limit.bound() * Math.min(MAX_SHARE, share);
        double perSecond =
                Math.min(
                        limit.requestsPerSecond(),
                        PermitIssuer.rateWithin(allowed, USABLE_SECONDS));
        long step = Math.min(STEPS - 1, limited.get().step(nowNanos));
        return OptionalDouble.of(step < 0 ? perSecond : Math.max(1, perSecond) * (2L << step));
    }

    /** Discards the period of an upstream that is gone. */
    void remove(String upstream) {
        mPeriods.remove(upstream);
    }

    /** Discards periods that have ended long ago. */
    void expire(long nowNanos) {
        mPeriods.values().removeIf(period -> nowNanos - period.mEndNanos >= ISSUING_NANOS);
    }

    boolean isEmpty() {
        return mPeriods.isEmpty();
    }

    private Optional<Period> limited(String upstream) {
        return Optional.ofNullable(mPeriods.get(upstream)).filter(p -> p.mLimit.isPresent());
    }
}
