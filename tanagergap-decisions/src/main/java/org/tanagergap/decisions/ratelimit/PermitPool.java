package org.tanagergap.decisions.ratelimit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/** Permits that one instance holds, and its demand for more. Confined to the event loop. */
final class PermitPool {

    /** Unused permits expire, so that permits of several seconds are not used at once. */
    static final Duration PERMIT_LIFETIME = Duration.ofMillis(500);

    /** Permits are requested for this time after a request could have used one. */
    private static final Duration DEMAND_LIFETIME = Duration.ofMillis(300);

    /** Time after which the answer of an issuer says nothing about the present demand. */
    private static final Duration EXPECTATION_LIFETIME = Duration.ofSeconds(1);

    /** Largest number of permits that are requested at once. */
    private static final int MAX_REQUESTED = 1024;

    private final Map<String, Permits> mPermits = new HashMap<>();

    private static final class Permits {
        private final Deque<Long> mExpiryNanos = new ArrayDeque<>();
        private final Deque<Long> mUsedNanos = new ArrayDeque<>();
        private boolean mNeeded;
        private long mNeededNanos;
        private OptionalDouble mExpectedPerSecond = OptionalDouble.empty();
        private long mExpectedNanos;

        void expire(long nowNanos) {
            while (!mExpiryNanos.isEmpty() && nowNanos - mExpiryNanos.peekFirst() >= 0) {
                mExpiryNanos.removeFirst();
            }
            while (!mUsedNanos.isEmpty()
                    && nowNanos - mUsedNanos.peekFirst() > PERMIT_LIFETIME.toNanos()) {
                mUsedNanos.removeFirst();
            }
        }

        /** Twice the recent use, so that an instance reaches its share within a few requests. */
        int wanted(long nowNanos) {
            expire(nowNanos);
            if (!mNeeded || nowNanos - mNeededNanos > DEMAND_LIFETIME.toNanos()) {
                return 0;
            }
            int target = Math.min(MAX_REQUESTED, 2 * mUsedNanos.size() + 1);
            return Math.max(0, target - mExpiryNanos.size());
        }
    }

    /** Returns true if a permit is available, and records the demand. */
    boolean isAvailable(String upstream, long nowNanos) {
        Permits permits = permits(upstream);
        permits.expire(nowNanos);
        permits.mNeeded = true;
        permits.mNeededNanos = nowNanos;
        return !permits.mExpiryNanos.isEmpty();
    }

    /** Uses a permit for a request that is sent. */
    void use(String upstream, long nowNanos) {
        Permits permits = permits(upstream);
        permits.mExpiryNanos.pollFirst();
        permits.mUsedNanos.addLast(nowNanos);
    }

    void add(String upstream, PermitGrant grant, Duration lifetime, long nowNanos) {
        Permits permits = permits(upstream);
        long expiryNanos = nowNanos + lifetime.toNanos();
        for (int i = 0; i < Math.min(MAX_REQUESTED, grant.permits()); i++) {
            permits.mExpiryNanos.addLast(expiryNanos);
        }
        permits.mExpectedPerSecond = OptionalDouble.of(grant.requestsPerSecond());
        permits.mExpectedNanos = nowNanos;
    }

    /** Returns the number of permits to request by upstream. */
    Map<String, Integer> wanted(long nowNanos) {
        Map<String, Integer> wanted = new HashMap<>();
        mPermits.forEach(
                (upstream, permits) -> {
                    int count = permits.wanted(nowNanos);
                    if (count > 0) {
                        wanted.put(upstream, count);
                    }
                });
        return wanted;
    }

    /** Returns the rate of permits that the issuer has announced recently. */
    OptionalDouble expectedPerSecond(String upstream, long nowNanos) {
        Permits permits = mPermits.get(upstream);
        return permits == null || nowNanos - permits.mExpectedNanos > EXPECTATION_LIFETIME.toNanos()
                ? OptionalDouble.empty()
                : permits.mExpectedPerSecond;
    }

    /** Discards the permits of an upstream whose limit has changed or that is gone. */
    void discard(String upstream) {
        mPermits.remove(upstream);
    }

    private Permits permits(String upstream) {
        return mPermits.computeIfAbsent(upstream, ignored -> new Permits());
    }
}
