package org.tanagergap.decisions.ratelimit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Rate limits that upstreams advertise, learned from responses and from the reports of other
 * instances. The newest response decides. Confined to the event loop.
 */
final class AdvertisedRateLimits {

    /** A limit that no response has confirmed for this time belongs to an upstream out of use. */
    private static final Duration LIMIT_LIFETIME = Duration.ofMinutes(10);

    /**
     * An ended limit is remembered, so that a late report of another instance does not revive it.
     */
    private static final Duration END_LIFETIME = Duration.ofSeconds(60);

    /** Time for which the end of a limit is reported, because datagrams can be lost. */
    private static final Duration END_REPORT_TIME = Duration.ofSeconds(3);

    /**
     * Newer observations of the same limit count from this difference on. Reports lose the time in
     * transit, so that instances would otherwise renew a limit for each other.
     */
    private static final Duration MIN_RENEWAL = Duration.ofMillis(100);

    private final Map<String, Observed> mObserved = new HashMap<>();

    private static final class Observed {
        private final OptionalDouble mPerSecond;
        private final long mNanos;
        private long mReportedSinceNanos;

        Observed(OptionalDouble perSecond, long nanos, long nowNanos) {
            mPerSecond = perSecond;
            mNanos = nanos;
            mReportedSinceNanos = nowNanos;
        }
    }

    /**
     * Records what a response showed.
     *
     * @param nanos time of the response
     * @return true if the limit of the upstream has changed
     */
    boolean observe(String upstream, OptionalDouble perSecond, long nanos, long nowNanos) {
        Observed current = mObserved.get(upstream);
        if (current == null) {
            // Upstreams without a limit are not remembered.
            if (perSecond.isEmpty()) {
                return false;
            }
            mObserved.put(upstream, new Observed(perSecond, nanos, nowNanos));
            return true;
        }
        boolean changed = !current.mPerSecond.equals(perSecond);
        long newerNanos = nanos - current.mNanos;
        if (changed && newerNanos <= 0) {
            // The sender of an outdated report has to hear of the newer observation.
            current.mReportedSinceNanos = nowNanos;
            return false;
        }
        if (!changed && newerNanos < MIN_RENEWAL.toNanos()) {
            return false;
        }
        mObserved.put(upstream, new Observed(perSecond, nanos, nowNanos));
        return changed;
    }

    /** Returns the limit of the upstream, in requests per second. */
    OptionalDouble limit(String upstream) {
        return Optional.ofNullable(mObserved.get(upstream))
                .map(observed -> observed.mPerSecond)
                .orElse(OptionalDouble.empty());
    }

    /** Returns the limits by upstream, in requests per second. */
    Map<String, Double> limits() {
        Map<String, Double> limits = new HashMap<>();
        mObserved.forEach(
                (upstream, observed) ->
                        observed.mPerSecond.ifPresent(limit -> limits.put(upstream, limit)));
        return limits;
    }

    boolean isEmpty() {
        return mObserved.isEmpty();
    }

    /** Returns what other instances should know. */
    Map<String, RateLimitObservation> observations(long nowNanos) {
        mObserved.values().removeIf(observed -> isExpired(observed, nowNanos));
        Map<String, RateLimitObservation> observations = new HashMap<>();
        mObserved.forEach(
                (upstream, observed) -> {
                    long reportedNanos = nowNanos - observed.mReportedSinceNanos;
                    if (observed.mPerSecond.isPresent()
                            || reportedNanos <= END_REPORT_TIME.toNanos()) {
                        Duration age = Duration.ofNanos(nowNanos - observed.mNanos);
                        observations.put(
                                upstream, new RateLimitObservation(observed.mPerSecond, age));
                    }
                });
        return observations;
    }

    void remove(String upstream) {
        mObserved.remove(upstream);
    }

    private static boolean isExpired(Observed observed, long nowNanos) {
        Duration lifetime = observed.mPerSecond.isPresent() ? LIMIT_LIFETIME : END_LIFETIME;
        return nowNanos - observed.mNanos > lifetime.toNanos();
    }
}
