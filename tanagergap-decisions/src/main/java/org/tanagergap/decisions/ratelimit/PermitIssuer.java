package org.tanagergap.decisions.ratelimit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.Function;

/**
 * Issues the permits of upstreams at the rate of their limits to the instances that request them,
 * in turn. Confined to the event loop.
 */
final class PermitIssuer {

    /** Unused permits are kept for this part of a second of the limit; one permit at least. */
    private static final double BURST_SECONDS = 0.25;

    /** Requests that are not repeated for this time are dropped. */
    private static final Duration REQUEST_LIFETIME = Duration.ofMillis(250);

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<String, Bucket> mBuckets = new HashMap<>();

    private static final class Request {
        private int mPermits;
        private long mNanos;
        private boolean mAnswered;
    }

    /** Permits of one upstream and the requests for them in the order of their arrival. */
    private static final class Bucket {
        private final Map<String, Request> mRequests = new LinkedHashMap<>();
        private OptionalDouble mPerSecond = OptionalDouble.empty();
        private double mPermits;
        private long mFilledNanos;

        /** Adds the permits since the last call; the first limit starts without any. */
        void fill(OptionalDouble perSecond, long nowNanos) {
            if (perSecond.isPresent() && mPerSecond.isPresent()) {
                double limit = perSecond.getAsDouble();
                double since = (nowNanos - mFilledNanos) / NANOS_PER_SECOND;
                double added = Math.min(limit, mPerSecond.getAsDouble()) * since;
                mPermits = Math.min(Math.max(1, BURST_SECONDS * limit), mPermits + added);
            } else {
                mPermits = 0;
            }
            mPerSecond = perSecond;
            mFilledNanos = nowNanos;
        }
    }

    /** Receives the answers of the issuer. */
    @FunctionalInterface
    interface Recipient {

        void granted(String instance, String upstream, PermitGrant grant);
    }

    /**
     * Returns the highest rate at which no more permits than allowed are issued within the time,
     * with those that the bucket holds at its start; 0 if not even one permit is allowed.
     */
    static double rateWithin(double allowed, double seconds) {
        double rate = allowed / (seconds + BURST_SECONDS);
        // The bucket holds one permit at least.
        return BURST_SECONDS * rate >= 1 ? rate : Math.max(0, (allowed - 1) / seconds);
    }

    /** Records that an instance requests permits; replaces its earlier request. */
    void request(String instance, String upstream, int permits, long nowNanos) {
        Bucket bucket = mBuckets.computeIfAbsent(upstream, ignored -> new Bucket());
        Request request = bucket.mRequests.computeIfAbsent(instance, ignored -> new Request());
        request.mPermits = permits;
        request.mNanos = nowNanos;
        request.mAnswered = false;
    }

    /**
     * Fills the buckets and issues permits.
     *
     * @param limits rate at which this instance issues permits for an upstream; empty if it is not
     *     the issuer or there is no limit
     */
    void issue(Function<String, OptionalDouble> limits, Recipient recipient, long nowNanos) {
        for (Iterator<Map.Entry<String, Bucket>> it = mBuckets.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<String, Bucket> entry = it.next();
            Bucket bucket = entry.getValue();
            bucket.fill(limits.apply(entry.getKey()), nowNanos);
            bucket.mRequests
                    .values()
                    .removeIf(request -> nowNanos - request.mNanos > REQUEST_LIFETIME.toNanos());
            if (bucket.mPerSecond.isEmpty()) {
                it.remove();
            } else {
                issue(entry.getKey(), bucket, recipient);
            }
        }
    }

    /** Starts to fill the bucket of an upstream before its first request. */
    void add(String upstream) {
        mBuckets.computeIfAbsent(upstream, ignored -> new Bucket());
    }

    private static void issue(String upstream, Bucket bucket, Recipient recipient) {
        List<Map.Entry<String, Request>> waiting = new ArrayList<>(bucket.mRequests.entrySet());
        double expectedPerSecond = bucket.mPerSecond.getAsDouble() / Math.max(1, waiting.size());
        for (int i = 0; i < waiting.size(); i++) {
            String instance = waiting.get(i).getKey();
            Request request = waiting.get(i).getValue();
            int share = (int) Math.max(1, bucket.mPermits / (waiting.size() - i));
            int permits = Math.min(request.mPermits, Math.min(share, (int) bucket.mPermits));
            if (permits > 0) {
                bucket.mPermits -= permits;
                bucket.mRequests.remove(instance);
            }
            if (permits > 0 || !request.mAnswered) {
                request.mAnswered = true;
                recipient.granted(instance, upstream, new PermitGrant(permits, expectedPerSecond));
            }
        }
    }
}
