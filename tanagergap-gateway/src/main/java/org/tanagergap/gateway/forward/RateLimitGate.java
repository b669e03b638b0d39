package org.tanagergap.gateway.forward;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.ratelimit.PermitGrant;
import org.tanagergap.decisions.ratelimit.PermitMessages;
import org.tanagergap.decisions.ratelimit.RateLimitNotice;
import org.tanagergap.decisions.ratelimit.RateLimitObservation;
import org.tanagergap.decisions.ratelimit.SharedRateLimits;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.runtime.log.LogKeys;

/**
 * Applies the rate limits that upstreams advertise to the requests of this instance. Confined to
 * the event loop.
 */
public final class RateLimitGate {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final FleetView mView;
    private final SharedRateLimits mLimits;
    private final Counter mChanges;
    private final Counter mPermitsUsed;
    private final Counter mPermitsMissing;
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
     */
    public RateLimitGate(RuntimeClock clock, String id, FleetView view, MetricRegistry metrics) {
        mClock = clock;
        mView = view;
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
        return mLimits.isLimited(upstream.incarnation());
    }

    /**
     * Returns the rate at which this instance can expect to send requests to the upstream; empty if
     * it advertises no limit.
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
     * @return messages for peers
     */
    public PermitMessages exchange(Map<String, Duration> silence) {
        return mLimits.exchange(silence, mClock.nanoTime());
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
