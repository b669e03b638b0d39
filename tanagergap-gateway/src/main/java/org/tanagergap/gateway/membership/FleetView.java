package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.runtime.log.LogKeys;

/**
 * What this instance believes of the fleet: the configuration in effect and the upstreams that may
 * receive requests. Confined to the event loop.
 */
public final class FleetView {

    /** Entries that lapsed during an outage of the store return within about two seconds. */
    private static final Duration LAPSE_GRACE = Duration.ofMillis(2200);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final Map<String, Upstream> mUpstreams = new HashMap<>();
    private final Map<String, Long> mLapsedAtNanos = new HashMap<>();
    private final List<Listener> mListeners = new ArrayList<>();
    private boolean mFirstReadEnded;
    private long mChanges;
    private OptionalLong mStoreReturnedNanos = OptionalLong.empty();
    private Optional<GatewayConfiguration> mConfiguration = Optional.empty();

    /** Is told of changes of the view. */
    public interface Listener {

        /** An upstream became usable. */
        void joined(Upstream upstream);

        /** An upstream must receive no new requests, or started anew and has lost its work. */
        void left(Upstream upstream);

        /** A configuration took effect. */
        void configured(GatewayConfiguration configuration);
    }

    public FleetView(RuntimeClock clock) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
    }

    /** Adds a listener. */
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
                .filter(upstream -> upstream.service().equals(service) && !upstream.leaving())
                .toList();
    }

    /** Upstream with the identifier, whether or not it is leaving. */
    public Optional<Upstream> upstream(String id) {
        return Optional.ofNullable(mUpstreams.get(id));
    }

    /** Upstream with the address, in the form {@code host:port}. */
    public Optional<Upstream> upstreamAt(String address) {
        return mUpstreams.values().stream()
                .filter(upstream -> upstream.address().toString().equals(address))
                .findFirst();
    }

    /** All upstreams known. */
    public List<Upstream> upstreams() {
        return List.copyOf(mUpstreams.values());
    }

    /** Number of changes so far; an entry that only shows that its upstream lives is none. */
    public long changes() {
        return mChanges;
    }

    /** Logs the upstreams of the first read in one line: a line for each would delay the start. */
    public void firstReadEnded() {
        mFirstReadEnded = true;
        List<String> usable =
                mUpstreams.values().stream()
                        .filter(upstream -> !upstream.leaving())
                        .map(upstream -> upstream.id() + "=" + upstream.address())
                        .sorted()
                        .toList();
        sLogger.atInfo().log("%d upstreams may receive requests: %s", usable.size(), usable);
    }

    /**
     * Takes over a change.
     *
     * @param lapsing whether a removal may only mean that the store was away
     */
    public void accept(FleetChange change, boolean lapsing) {
        if (change instanceof FleetChange.Configured configured) {
            configure(configured.configuration());
        } else if (change instanceof FleetChange.Member member) {
            accept(member, lapsing);
        } else if (change instanceof FleetChange.Unreadable unreadable) {
            sLogger.atWarning().log(
                    "%s cannot be read and is ignored: %s",
                    unreadable.place(), unreadable.reason());
        }
    }

    /**
     * Drops the upstreams whose entries have not returned after an outage.
     *
     * @param all whether there was no outage for all instances, so that no entry has lapsed
     */
    public void dropLapsed(boolean all) {
        long now = mClock.nanoTime();
        for (Map.Entry<String, Long> lapsed : List.copyOf(mLapsedAtNanos.entrySet())) {
            if (all || now - lapsed.getValue() >= LAPSE_GRACE.toNanos()) {
                remove(lapsed.getKey(), "its entry has not returned after the outage");
            }
        }
    }

    /** Restarts the grace of lapsed entries, which counts from the return of the store. */
    public void storeReturned() {
        long now = mClock.nanoTime();
        mStoreReturnedNanos = OptionalLong.of(now);
        mLapsedAtNanos.replaceAll((id, since) -> now);
    }

    private void configure(GatewayConfiguration configuration) {
        long inEffect = mConfiguration.map(GatewayConfiguration::version).orElse(-1L);
        if (configuration.version() <= inEffect) {
            return;
        }
        mConfiguration = Optional.of(configuration);
        mChanges++;
        sLogger.atInfo().log(
                "configuration %d is in effect after %d: %d routes",
                configuration.version(), inEffect, configuration.routeCount());
        mListeners.forEach(listener -> listener.configured(configuration));
    }

    private void accept(FleetChange.Member member, boolean lapsing) {
        member.damaged()
                .ifPresent(
                        reason ->
                                sLogger.atWarning()
                                        .with(LogKeys.UPSTREAM, member.id())
                                        .log("the entry names no usable upstream: %s", reason));
        if (member.upstream().isPresent()) {
            put(member.upstream().get());
        } else if (lapsing && member.damaged().isEmpty() && mUpstreams.containsKey(member.id())) {
            mLapsedAtNanos.putIfAbsent(member.id(), graceStartNanos());
        } else {
            remove(member.id(), "its entry was removed");
        }
    }

    /** The grace counts from the return of the store also for removals that are seen later. */
    private long graceStartNanos() {
        long now = mClock.nanoTime();
        long returned = mStoreReturnedNanos.orElse(now);
        return now - returned < LAPSE_GRACE.toNanos() ? returned : now;
    }

    private void put(Upstream upstream) {
        mLapsedAtNanos.remove(upstream.id());
        Upstream known = mUpstreams.put(upstream.id(), upstream);
        if (upstream.equals(known)) {
            return;
        }
        mChanges++;
        boolean wasUsable = known != null && !known.leaving();
        boolean bornAgain = known != null && known.bornMillis() != upstream.bornMillis();
        if (wasUsable && (upstream.leaving() || bornAgain)) {
            log(upstream, upstream.leaving() ? "is leaving" : "was started again");
            mListeners.forEach(listener -> listener.left(known));
        }
        if (!upstream.leaving() && (!wasUsable || bornAgain)) {
            log(upstream, "may receive requests");
            mListeners.forEach(listener -> listener.joined(upstream));
        }
    }

    private void remove(String id, String reason) {
        mLapsedAtNanos.remove(id);
        Upstream known = mUpstreams.remove(id);
        if (known != null) {
            mChanges++;
            log(known, "is gone: " + reason);
            mListeners.forEach(listener -> listener.left(known));
        }
    }

    private void log(Upstream upstream, String what) {
        if (!mFirstReadEnded) {
            return;
        }
        sLogger.atInfo()
                .with(LogKeys.UPSTREAM, upstream.id())
                .with(LogKeys.SERVICE, upstream.service())
                .with(LogKeys.FAILURE_DOMAIN, upstream.failureDomain())
                .log("upstream %s %s", upstream.address(), what);
    }
}
