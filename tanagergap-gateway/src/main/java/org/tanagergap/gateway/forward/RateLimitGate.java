package org.tanagergap.gateway.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.Collectors;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.ratelimit.ColdStartLimit;
import org.tanagergap.decisions.ratelimit.PermitGrant;
import org.tanagergap.decisions.ratelimit.PermitMessages;
import org.tanagergap.decisions.ratelimit.RateLimitNotice;
import org.tanagergap.decisions.ratelimit.RateLimitObservation;
import org.tanagergap.decisions.ratelimit.SharedRateLimits;
import org.tanagergap.gateway.configuration.ServiceTarget;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.runtime.log.LogKeys;

/**
 * Applies the rate limits that upstreams advertise, and those of cold upstreams, to the requests of
 * this instance. Confined to the event loop.
 */
public final class RateLimitGate {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final FleetView mView;
    private final SharedRateLimits mLimits;
    private final Counter mChanges;
    private final Counter mPermitsUsed;
    private final Counter mPermitsMissing;
    private final DoubleUnaryOperator mColdBound;

    /** Incarnations whose cold period was logged, and its end was not. */
    private final Set<String> mCold = new HashSet<>();

    private Listener mListener = new NoListener();

    /** Receives what the exchange with other instances depends on. */
    public interface Listener {

        /** Called when permits should be requested or issued soon. */
        void exchangeNeeded();

        /** Called when requests may be sent that could not be sent before. */
        void capacityChanged();
    }

    /**
     * Creates a gate that knows of no limit.
     *
     * @param id identifier of this instance
     * @param coldBound requests that a cold upstream may receive in a second from all instances, by
     *     the rate that it sustains
     */
    public RateLimitGate(
            RuntimeClock clock,
            String id,
            FleetView view,
            MetricRegistry metrics,
            DoubleUnaryOperator coldBound) {
        mClock = clock;
        mView = view;
        mColdBound = coldBound;
        mLimits = new SharedRateLimits(id, new Changes(), clock.nanoTime());
        mChanges = metrics.counter("gateway_rate_limit_changes");
        mPermitsUsed = metrics.counter("gateway_permits_used");
        mPermitsMissing = metrics.counter("gateway_permits_missing");
    }

    public void listener(Listener listener) {
        mListener = listener;
    }

    /** Returns true if a request may be sent to the upstream now; otherwise requests a permit. */
    boolean maySend(Upstream upstream) {
        boolean allowed = mLimits.maySend(upstream.incarnation(), mClock.nanoTime());
        if (!allowed) {
            mPermitsMissing.inc();
            mListener.exchangeNeeded();
        }
        return allowed;
    }

    /** Records that a request is sent to the upstream. */
    void sent(Upstream upstream) {
        if (isLimited(upstream)) {
            mPermitsUsed.inc();
            mLimits.sent(upstream.incarnation(), mClock.nanoTime());
        }
    }

    boolean isLimited(Upstream upstream) {
        return hasAdvertisedLimit(upstream) || isColdLimited(upstream);
    }

    /** Returns true if the upstream itself has advertised a rate limit. */
    boolean hasAdvertisedLimit(Upstream upstream) {
        return mLimits.isLimited(upstream.incarnation());
    }

    /** Returns true if there may be upstreams that are cold or were until recently. */
    boolean anyColdLimited() {
        return mLimits.anyColdLimited();
    }

    /** Returns true if the upstream is cold, or was until recently and gets its load in steps. */
    boolean isColdLimited(Upstream upstream) {
        return mLimits.isColdLimited(upstream.incarnation(), mClock.nanoTime());
    }

    /**
     * Records how long an upstream stays cold.
     *
     * @param fromResponse true if a response said so, and not the entry in the store
     */
    public void coldObserved(Upstream upstream, Duration remaining, boolean fromResponse) {
        String incarnation = upstream.incarnation();
        Optional<ColdStartLimit> limit = coldLimit(upstream);
        mLimits.coldObserved(incarnation, remaining, limit, fromResponse, mClock.nanoTime());
        if (coldRemaining(incarnation).isPresent() && mCold.add(incarnation)) {
            sLogger.atInfo()
                    .with(LogKeys.UPSTREAM, incarnation)
                    .log(
                            "upstream is cold for %d ms and sustains %s requests per second",
                            coldRemaining(incarnation).get().toMillis(),
                            limit.get().requestsPerSecond());
            mListener.exchangeNeeded();
        }
        logEnds();
    }

    private Optional<ColdStartLimit> coldLimit(Upstream upstream) {
        return mView.configuration()
                .flatMap(configuration -> configuration.service(upstream.service()))
                .flatMap(ServiceTarget::coldStart)
                .map(
                        cold ->
                                new ColdStartLimit(
                                        cold.duration(),
                                        cold.requestsPerSecond(),
                                        mColdBound.applyAsDouble(cold.requestsPerSecond())));
    }

    private Optional<Duration> coldRemaining(String incarnation) {
        return mLimits.coldRemaining(incarnation, mClock.nanoTime());
    }

    /** Returns how long the upstream stays cold; empty if it is warm or has no limit. */
    Optional<Duration> coldRemaining(Upstream upstream) {
        return coldRemaining(upstream.incarnation());
    }

    /** Returns how long upstreams stay cold, by identifier. */
    public Map<String, Duration> coldRemaining() {
        Map<String, Duration> remaining = new HashMap<>();
        for (Upstream upstream : mView.upstreams()) {
            coldRemaining(upstream).ifPresent(time -> remaining.put(upstream.id(), time));
        }
        return remaining;
    }

    private void logEnds() {
        mCold.removeIf(
                incarnation -> {
                    boolean ended = coldRemaining(incarnation).isEmpty();
                    if (ended) {
                        sLogger.atInfo()
                                .with(LogKeys.UPSTREAM, incarnation)
                                .log("upstream is no longer cold, its load returns in steps");
                    }
                    return ended;
                });
    }

    /** Applies what the new configuration says about cold upstreams. */
    public void configurationChanged() {
        mView.upstreams().forEach(u -> mLimits.coldLimitChanged(u.incarnation(), coldLimit(u)));
    }

    /** Returns true if permits have to be exchanged. */
    public boolean isActive() {
        return mLimits.isActive();
    }

    /**
     * Returns the rate at which this instance can expect to send requests to the upstream; empty if
     * it has no limit.
     */
    OptionalDouble expectedPerSecond(Upstream upstream) {
        return mLimits.expectedPerSecond(upstream.incarnation(), mClock.nanoTime());
    }

    /** Records what a response of the upstream shows. */
    void responseReceived(Upstream upstream, RateLimitNotice notice) {
        mLimits.responseReceived(upstream.incarnation(), notice, mClock.nanoTime());
    }

    /** Discards the limit of an upstream that is gone or has restarted. */
    public void remove(Upstream upstream) {
        mLimits.remove(upstream.incarnation());
    }

    /** Returns the limits by incarnation of the upstream, in requests per second. */
    public Map<String, Double> limits() {
        return mLimits.limits();
    }

    /** Returns what peers should know. */
    public Map<String, RateLimitObservation> observations() {
        return mLimits.observations(mClock.nanoTime());
    }

    /** Accepts what a peer knows about upstreams that this instance knows as well. */
    public void accept(Map<String, RateLimitObservation> observations) {
        if (observations.isEmpty()) {
            return;
        }
        Set<String> known =
                mView.upstreams().stream().map(Upstream::incarnation).collect(Collectors.toSet());
        Map<String, RateLimitObservation> accepted = new HashMap<>(observations);
        accepted.keySet().retainAll(known);
        mLimits.accept(accepted, mClock.nanoTime());
    }

    /** Records that a peer requests permits, by upstream. */
    public void requested(String peer, Map<String, Integer> permits) {
        mLimits.requested(peer, permits, mClock.nanoTime());
        mListener.exchangeNeeded();
    }

    /** Accepts permits from a peer, by upstream. */
    public void granted(Map<String, PermitGrant> grants) {
        mLimits.granted(grants, mClock.nanoTime());
    }

    /**
     * Requests and issues permits.
     *
     * @param silence time since the last report of each peer
     * @param instances number of instances that exist, also of those that are not heard
     * @return messages for peers
     */
    public PermitMessages exchange(Map<String, Duration> silence, int instances) {
        logEnds();
        return mLimits.exchange(silence, instances, mClock.nanoTime());
    }

    private final class Changes implements SharedRateLimits.Listener {

        @Override
        public void limitChanged(String upstream, OptionalDouble requestsPerSecond) {
            mChanges.inc();
            String change =
                    requestsPerSecond.isPresent()
                            ? "advertises a limit of "
                                    + requestsPerSecond.getAsDouble()
                                    + " requests per second"
                            : "no longer advertises a rate limit";
            sLogger.atInfo().with(LogKeys.UPSTREAM, upstream).log("upstream %s", change);
            mListener.exchangeNeeded();
            mListener.capacityChanged();
        }

        @Override
        public void permitsReceived() {
            mListener.capacityChanged();
        }
    }

    private static final class NoListener implements Listener {

        @Override
        public void exchangeNeeded() {}

        @Override
        public void capacityChanged() {}
    }
}
