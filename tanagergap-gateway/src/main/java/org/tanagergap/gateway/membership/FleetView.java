package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.replication.DepartedUpstreams;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.runtime.log.LogKeys;

/**
 * This instance's view of the fleet: the configuration in effect and the upstreams that may receive
 * requests. Confined to the event loop.
 */
public final class FleetView {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final Map<String, Upstream> mUpstreams = new HashMap<>();
    private final ExpiredEntries mExpired;
    private final DepartedUpstreams mDeparted = new DepartedUpstreams();
    private final DrainedDomains mDrained = new DrainedDomains();
    private final List<Listener> mListeners = new ArrayList<>();
    private boolean mInitialLoadCompleted;
    private long mChanges;
    private Optional<GatewayConfiguration> mConfiguration = Optional.empty();

    /** Receives changes of the view. */
    public interface Listener {

        /** Called when an upstream may receive requests. */
        void upstreamAvailable(Upstream upstream);

        /**
         * Called when an upstream must receive no new requests, or has restarted and lost its
         * requests in flight.
         */
        void upstreamUnavailable(Upstream upstream);

        /**
         * Called when an entry of an upstream was read, before the changes that follow from it.
         *
         * @param remaining time for which the upstream stays cold; zero if it is warm
         */
        default void coldPeriodReported(Upstream upstream, Duration remaining) {}

        /**
         * Called when an upstream that still runs must receive no new requests, because its failure
         * domain is drained.
         */
        void upstreamDrained(Upstream upstream);

        /** Called when an upstream may receive requests again that was drained. */
        void upstreamDrainEnded(Upstream upstream);

        /** Called when a configuration has taken effect. */
        void configurationChanged(GatewayConfiguration configuration);
    }

    public FleetView(RuntimeClock clock) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mExpired =
                new ExpiredEntries(
                        clock, id -> remove(id, "its entry has not returned after the outage"));
    }

    public void addListener(Listener listener) {
        mListeners.add(listener);
    }

    /** Configuration in effect. */
    public Optional<GatewayConfiguration> configuration() {
        return mConfiguration;
    }

    /** Upstreams of a service that may receive requests. */
    public List<Upstream> usable(String service) {
        return mUpstreams.values().stream()
                .filter(upstream -> upstream.service().equals(service) && mayReceive(upstream))
                .toList();
    }

    /**
     * Returns true if drained failure domains leave no upstream of the service that may receive
     * requests.
     */
    public boolean isDrained(String service) {
        List<Upstream> serving =
                mUpstreams.values().stream()
                        .filter(u -> u.service().equals(service) && !u.draining())
                        .toList();
        return !serving.isEmpty() && serving.stream().noneMatch(this::mayReceive);
    }

    /** Failure domains that the operator drains, in alphabetical order. */
    public Set<String> drainedDomains() {
        return mDrained.all();
    }

    private boolean mayReceive(Upstream upstream) {
        return !upstream.draining() && !mDrained.contains(upstream.failureDomain());
    }

    /** Upstream with the identifier, also if it is draining. */
    public Optional<Upstream> upstream(String id) {
        return Optional.ofNullable(mUpstreams.get(id));
    }

    /** Upstream with the address, in the form {@code host:port}. */
    public Optional<Upstream> upstreamAt(String address) {
        return mUpstreams.values().stream()
                .filter(upstream -> upstream.address().toString().equals(address))
                .findFirst();
    }

    /** All registered upstreams. */
    public List<Upstream> upstreams() {
        return List.copyOf(mUpstreams.values());
    }

    /** Number of upstreams in use whose entries were removed and may have expired in an outage. */
    public int keptUpstreams() {
        return mExpired.size();
    }

    /** Number of changes so far; heartbeats of upstreams do not count. */
    public long changes() {
        return mChanges;
    }

    /**
     * Logs the upstreams of the initial load in one line, because one for each delays the start.
     */
    public void initialLoadCompleted() {
        mInitialLoadCompleted = true;
        List<String> usable =
                mUpstreams.values().stream()
                        .filter(this::mayReceive)
                        .map(upstream -> upstream.id() + "=" + upstream.address())
                        .sorted()
                        .toList();
        sLogger.atInfo().log("%d upstreams may receive requests: %s", usable.size(), usable);
    }

    /**
     * Applies a change.
     *
     * @param origin where the change comes from, on which its meaning depends
     */
    public void accept(FleetChange change, ChangeOrigin origin) {
        if (change instanceof FleetChange.ConfigurationAccepted accepted) {
            applyConfiguration(accepted.configuration());
        } else if (change instanceof FleetChange.UpstreamEntry entry) {
            accept(entry, origin);
        } else if (change instanceof FleetChange.DomainDrain drain) {
            applyDomainDrain(drain.domain(), drain.drained());
        } else if (change instanceof FleetChange.InvalidItem invalid) {
            sLogger.atWarning().log(
                    "store item %s is invalid and is ignored: %s", invalid.key(), invalid.reason());
        }
    }

    /** Sets what is asked before upstreams are dropped whose entries may have expired. */
    public void checkExpiryWith(ExpiryCheck check) {
        mExpired.checkWith(check);
    }

    /**
     * Restarts the grace period of expired entries, which begins when the store is available again.
     */
    public void storeRecovered(long atNanos) {
        mExpired.storeRecovered(atNanos);
    }

    private void applyConfiguration(GatewayConfiguration configuration) {
        long inEffect = mConfiguration.map(GatewayConfiguration::version).orElse(-1L);
        if (configuration.version() <= inEffect) {
            return;
        }
        mConfiguration = Optional.of(configuration);
        mChanges++;
        sLogger.atInfo().log(
                "configuration %d takes effect (previous version %d): %d routes",
                configuration.version(), inEffect, configuration.routeCount());
        mListeners.forEach(listener -> listener.configurationChanged(configuration));
    }

    private void applyDomainDrain(String domain, boolean drained) {
        if (!mDrained.set(domain, drained)) {
            return;
        }
        mChanges++;
        List<Upstream> affected =
                mUpstreams.values().stream()
                        .filter(u -> u.failureDomain().equals(domain) && !u.draining())
                        .toList();
        String message =
                drained
                        ? "failure domain %s is drained: %d upstreams receive no new requests"
                        : "drain of failure domain %s has ended: %d upstreams may receive requests";
        sLogger.atInfo().with(LogKeys.FAILURE_DOMAIN, domain).log(message, domain, affected.size());
        for (Listener listener : mListeners) {
            if (drained) {
                affected.forEach(listener::upstreamDrained);
            } else {
                affected.forEach(listener::upstreamDrainEnded);
            }
        }
    }

    private void accept(FleetChange.UpstreamEntry entry, ChangeOrigin origin) {
        entry.invalidReason()
                .ifPresent(
                        reason ->
                                sLogger.atWarning()
                                        .with(LogKeys.UPSTREAM, entry.id())
                                        .log("upstream entry is invalid: %s", reason));
        if (entry.upstream().isPresent()) {
            // Heartbeats are no changes, but each says how long the upstream stays cold.
            mListeners.forEach(
                    l -> l.coldPeriodReported(entry.upstream().get(), entry.coldRemaining()));
            putUnlessDeparted(entry.upstream().get(), origin);
        } else if (origin != ChangeOrigin.WRITE
                && entry.invalidReason().isEmpty()
                && mUpstreams.containsKey(entry.id())) {
            countChange(mExpired.add(entry.id()));
        } else {
            remove(entry.id(), "its entry was removed");
        }
    }

    private void putUnlessDeparted(Upstream upstream, ChangeOrigin origin) {
        String incarnation = upstream.incarnation();
        if (!upstream.hasStartTime()) {
            // Without it a restart under the same identifier cannot be told from a return.
            put(upstream);
            return;
        }
        if (upstream.draining()) {
            mDeparted.draining(incarnation, mClock.nanoTime());
        } else if (mDeparted.mayReturn(incarnation, origin == ChangeOrigin.RESTORE)) {
            mDeparted.returned(incarnation);
        } else {
            log(upstream, "has left; an earlier entry of it is ignored");
            return;
        }
        put(upstream);
    }

    /** Counts the expiry of an entry or its return, which peers have to know. */
    private void countChange(boolean changed) {
        if (changed) {
            mChanges++;
        }
    }

    private void put(Upstream upstream) {
        countChange(mExpired.remove(upstream.id()));
        Upstream previous = mUpstreams.put(upstream.id(), upstream);
        if (upstream.equals(previous)) {
            return;
        }
        mChanges++;
        boolean wasAvailable = previous != null && mayReceive(previous);
        boolean restarted =
                previous != null && previous.startedAtMillis() != upstream.startedAtMillis();
        // Also in a drained failure domain, what is known of the earlier incarnation is discarded.
        boolean restartedInService = restarted && !previous.draining();
        if (wasAvailable && !mayReceive(upstream) || restartedInService) {
            log(upstream, upstream.draining() ? "is leaving" : "has restarted");
            mListeners.forEach(listener -> listener.upstreamUnavailable(previous));
        }
        if (mayReceive(upstream) && (!wasAvailable || restarted)) {
            log(upstream, "may receive requests");
            mListeners.forEach(listener -> listener.upstreamAvailable(upstream));
        }
    }

    private void remove(String id, String reason) {
        mExpired.remove(id);
        Upstream previous = mUpstreams.remove(id);
        if (previous != null) {
            mChanges++;
            mDeparted.removed(previous.incarnation(), mClock.nanoTime());
            log(previous, "is gone: " + reason);
            mListeners.forEach(listener -> listener.upstreamUnavailable(previous));
        }
    }

    private void log(Upstream upstream, String status) {
        if (!mInitialLoadCompleted) {
            return;
        }
        sLogger.atInfo()
                .with(LogKeys.UPSTREAM, upstream.id())
                .with(LogKeys.SERVICE, upstream.service())
                .with(LogKeys.FAILURE_DOMAIN, upstream.failureDomain())
                .log("upstream %s %s", upstream.address(), status);
    }
}
