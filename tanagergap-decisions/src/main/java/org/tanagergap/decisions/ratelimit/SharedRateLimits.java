package org.tanagergap.decisions.ratelimit;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.tanagergap.decisions.routing.RendezvousHash;

/**
 * Keeps the rate limits that upstreams advertise for all instances together. Each limited upstream
 * has one issuer among the instances, chosen by rendezvous hashing, and a request is sent there
 * only with a permit of the issuer. Even shares would not do: a limit can be lower than the number
 * of instances, and most callers may be at a few of them.
 *
 * <p>An instance becomes the issuer when the previous one has been silent for longer than its
 * permits last, and begins without permits, so that a change of the issuer does not exceed the
 * limit. An upstream whose issuer is lost gets no requests for that time. Upstreams are named by
 * their incarnation, because a limit ends with it. Confined to the event loop.
 *
 * <p>A cold upstream has a further limit, with permits of its own. Instances that hear from each
 * other use at most half of what it sustains, and less if they are fewer than half of all
 * instances, so that groups that do not hear from each other keep the bound together.
 */
public final class SharedRateLimits {

    /**
     * Instances that have been silent for longer are not issuers. One that starts waits for the
     * same time before it issues permits, until the others have heard of it.
     */
    static final Duration ISSUER_SILENCE = Duration.ofMillis(1500);

    /** Lowest rate of requests, without which the end of a limit would never be noticed. */
    static final double MIN_REQUESTS_PER_SECOND = 0.2;

    /**
     * Changes of a limit up to this ratio keep the permits, as upstreams may adapt their limit with
     * each response.
     */
    private static final double MAX_SIMILAR_RATIO = 1.5;

    /** Prefix for the permits of a cold upstream; identifiers of upstreams contain no space. */
    private static final String COLD = "cold ";

    private final String mId;
    private final long mStartNanos;
    private final AdvertisedRateLimits mLimits = new AdvertisedRateLimits();
    private final PermitIssuer mIssuer = new PermitIssuer();
    private final PermitPool mPool = new PermitPool();
    private final ColdPeriods mCold = new ColdPeriods();
    private final Listener mListener;
    private double mShare = ColdPeriods.MAX_SHARE;

    /** Receives changes of limits and permits. */
    public interface Listener {

        /** Called when the limit of an upstream has begun, changed considerably or ended. */
        void limitChanged(String upstream, OptionalDouble requestsPerSecond);

        /** Called when requests may be sent that could not be sent before. */
        void permitsReceived();
    }

    /**
     * Creates limits that know of no upstream.
     *
     * @param id identifier of this instance
     */
    public SharedRateLimits(String id, Listener listener, long nowNanos) {
        mId = id;
        mListener = listener;
        mStartNanos = nowNanos;
    }

    /** Records what a response of the upstream showed. */
    public void responseReceived(String upstream, RateLimitNotice notice, long nowNanos) {
        if (notice instanceof RateLimitNotice.Limited limited) {
            OptionalDouble limit = OptionalDouble.of(limited.requestsPerSecond());
            observe(upstream, limit, nowNanos, nowNanos);
        } else if (notice instanceof RateLimitNotice.Unlimited) {
            observe(upstream, OptionalDouble.empty(), nowNanos, nowNanos);
        }
    }

    /**
     * Records how long an upstream stays cold.
     *
     * @param remaining zero if it is warm
     * @param limit what it sustains while it is cold; empty if that is not restricted
     * @param fromResponse true if a response said so, and not the entry in the store
     */
    public void coldObserved(
            String upstream,
            Duration remaining,
            Optional<ColdStartLimit> limit,
            boolean fromResponse,
            long nowNanos) {
        if (mCold.observe(COLD + upstream, remaining, limit, fromResponse, nowNanos)) {
            // Permits issued when it was warm would exceed the limit.
            mPool.discard(COLD + upstream);
            mIssuer.add(COLD + upstream);
        }
    }

    /** Replaces what an upstream sustains while it is cold. */
    public void coldLimitChanged(String upstream, Optional<ColdStartLimit> limit) {
        mCold.setLimit(COLD + upstream, limit);
    }

    /** Returns how long the upstream stays cold; empty if it is warm or has no limit. */
    public Optional<Duration> coldRemaining(String upstream, long nowNanos) {
        return mCold.isEmpty() ? Optional.empty() : mCold.remaining(COLD + upstream, nowNanos);
    }

    /** Returns true if the upstream is cold, or was until recently and gets its load in steps. */
    public boolean isColdLimited(String upstream, long nowNanos) {
        return !mCold.isEmpty() && mCold.isLimited(COLD + upstream, nowNanos);
    }

    /** Returns true if there may be upstreams that are cold or were until recently. */
    public boolean anyColdLimited() {
        return !mCold.isEmpty();
    }

    /** Returns true if permits have to be exchanged. */
    public boolean isActive() {
        return !mLimits.limits().isEmpty() || !mCold.isEmpty();
    }

    /** Accepts what another instance knows. */
    public void accept(Map<String, RateLimitObservation> observations, long nowNanos) {
        observations.forEach(
                (upstream, observation) ->
                        observe(
                                upstream,
                                observation.requestsPerSecond(),
                                nowNanos - observation.age().toNanos(),
                                nowNanos));
    }

    private void observe(String upstream, OptionalDouble limit, long nanos, long nowNanos) {
        OptionalDouble previous = mLimits.limit(upstream);
        if (!mLimits.observe(upstream, limit, nanos, nowNanos) || isSimilar(previous, limit)) {
            return;
        }
        // Permits issued under a much higher limit would exceed the new one.
        mPool.discard(upstream);
        if (limit.isPresent()) {
            mIssuer.add(upstream);
        }
        mListener.limitChanged(upstream, limit);
    }

    private static boolean isSimilar(OptionalDouble previous, OptionalDouble limit) {
        if (previous.isEmpty() || limit.isEmpty()) {
            return false;
        }
        double lower = Math.min(previous.getAsDouble(), limit.getAsDouble());
        double higher = Math.max(previous.getAsDouble(), limit.getAsDouble());
        return higher <= MAX_SIMILAR_RATIO * lower;
    }

    /** Returns what other instances should know. */
    public Map<String, RateLimitObservation> observations(long nowNanos) {
        return mLimits.observations(nowNanos);
    }

    /** Returns the limits by upstream, in requests per second. */
    public Map<String, Double> limits() {
        return mLimits.limits();
    }

    public boolean isLimited(String upstream) {
        return mLimits.limit(upstream).isPresent();
    }

    /** Returns true if a request may be sent to the upstream now; otherwise requests a permit. */
    public boolean maySend(String upstream, long nowNanos) {
        boolean allowed = !isLimited(upstream) || mPool.isAvailable(upstream, nowNanos);
        boolean allowedIfCold =
                !isColdLimited(upstream, nowNanos) || mPool.isAvailable(COLD + upstream, nowNanos);
        return allowed && allowedIfCold;
    }

    /** Records that a request is sent to the upstream. */
    public void sent(String upstream, long nowNanos) {
        if (isLimited(upstream)) {
            mPool.use(upstream, nowNanos);
        }
        if (isColdLimited(upstream, nowNanos)) {
            mPool.use(COLD + upstream, nowNanos);
        }
    }

    /**
     * Returns the rate at which this instance can expect to send requests to a limited upstream;
     * the whole limit as long as the issuer has not told the share of this instance.
     */
    public OptionalDouble expectedPerSecond(String upstream, long nowNanos) {
        OptionalDouble advertised = expectedPermits(upstream, nowNanos);
        if (!isColdLimited(upstream, nowNanos)) {
            return advertised;
        }
        double cold = expectedPermits(COLD + upstream, nowNanos).orElse(0);
        double lower = Math.min(cold, advertised.orElse(cold));
        return OptionalDouble.of(Math.max(MIN_REQUESTS_PER_SECOND, lower));
    }

    private OptionalDouble expectedPermits(String name, long nowNanos) {
        OptionalDouble limit = issuedPerSecond(name, nowNanos);
        OptionalDouble expected = mPool.expectedPerSecond(name, nowNanos);
        return limit.isPresent() && expected.isPresent() ? expected : limit;
    }

    /** Discards what is known of an upstream that is gone. */
    public void remove(String upstream) {
        mLimits.remove(upstream);
        mPool.discard(upstream);
        mCold.remove(COLD + upstream);
        mPool.discard(COLD + upstream);
    }

    /** Records that another instance requests permits, by upstream. */
    public void requested(String instance, Map<String, Integer> permits, long nowNanos) {
        permits.forEach(
                (upstream, count) -> {
                    if (issuedPerSecond(upstream, nowNanos).isPresent()) {
                        mIssuer.request(instance, upstream, count, nowNanos);
                    }
                });
    }

    /** Accepts permits from another instance, by upstream. */
    public void granted(Map<String, PermitGrant> grants, long nowNanos) {
        boolean usable = false;
        for (Map.Entry<String, PermitGrant> grant : grants.entrySet()) {
            String name = grant.getKey();
            boolean advertised = isLimited(name);
            if (advertised || mCold.isLimited(name, nowNanos)) {
                Duration lifetime =
                        advertised ? PermitPool.PERMIT_LIFETIME : ColdPeriods.PERMIT_LIFETIME;
                mPool.add(name, grant.getValue(), lifetime, nowNanos);
                usable |= grant.getValue().permits() > 0;
            }
        }
        if (usable) {
            mListener.permitsReceived();
        }
    }

    /**
     * Requests and issues permits. To be called periodically while there are limits, and soon after
     * a request for permits.
     *
     * @param silence time since the last report of each other instance
     * @param count number of instances that exist, also of those that are not heard
     * @return messages for the other instances
     */
    public PermitMessages exchange(Map<String, Duration> silence, int count, long nowNanos) {
        mCold.expire(nowNanos);
        if (mLimits.isEmpty() && mCold.isEmpty()) {
            return PermitMessages.NONE;
        }
        Set<String> instances = instances(silence);
        mShare = instances.size() / (double) Math.max(count, instances.size());
        Map<String, Map<String, Integer>> requests = requests(instances, nowNanos);
        Map<String, Integer> own = requests.remove(mId);
        if (own != null) {
            requested(mId, own, nowNanos);
        }
        Map<String, Map<String, PermitGrant>> grants = issue(instances, nowNanos);
        Map<String, PermitGrant> ownGrants = grants.remove(mId);
        if (ownGrants != null) {
            granted(ownGrants, nowNanos);
        }
        return new PermitMessages(requests, grants);
    }

    private Map<String, Map<String, Integer>> requests(Set<String> instances, long nowNanos) {
        Map<String, Map<String, Integer>> requests = new HashMap<>();
        mPool.wanted(nowNanos)
                .forEach(
                        (upstream, count) ->
                                requests.computeIfAbsent(
                                                issuer(upstream, instances),
                                                ignored -> new HashMap<>())
                                        .put(upstream, count));
        return requests;
    }

    private Map<String, Map<String, PermitGrant>> issue(Set<String> instances, long nowNanos) {
        Map<String, Map<String, PermitGrant>> grants = new HashMap<>();
        boolean established = nowNanos - mStartNanos >= ISSUER_SILENCE.toNanos();
        mIssuer.issue(
                upstream ->
                        established && issuer(upstream, instances).equals(mId)
                                ? issuedPerSecond(upstream, nowNanos)
                                : OptionalDouble.empty(),
                (instance, upstream, grant) ->
                        grants.computeIfAbsent(instance, ignored -> new HashMap<>())
                                .put(upstream, grant),
                nowNanos);
        return grants;
    }

    private OptionalDouble issuedPerSecond(String upstream, long nowNanos) {
        OptionalDouble limit = mLimits.limit(upstream);
        return limit.isPresent()
                ? OptionalDouble.of(Math.max(MIN_REQUESTS_PER_SECOND, limit.getAsDouble()))
                : mCold.issuedPerSecond(upstream, mShare, nowNanos);
    }

    private Set<String> instances(Map<String, Duration> silence) {
        Set<String> instances = new HashSet<>();
        instances.add(mId);
        silence.forEach(
                (instance, time) -> {
                    if (time.compareTo(ISSUER_SILENCE) <= 0) {
                        instances.add(instance);
                    }
                });
        return instances;
    }

    private static String issuer(String upstream, Set<String> instances) {
        return RendezvousHash.first(upstream, instances, id -> id, 1).get(0);
    }
}
