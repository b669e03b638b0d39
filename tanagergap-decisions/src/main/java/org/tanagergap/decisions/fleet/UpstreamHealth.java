package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Health of each upstream as observed by requests: failures suspend it for a time that doubles with
 * each further failure. Confined to the event loop.
 */
public final class UpstreamHealth {

    private static final Duration FIRST_SUSPENSION = Duration.ofMillis(400);
    private static final Duration MAX_SUSPENSION = Duration.ofSeconds(4);

    /** Consecutive failures after which a reachable upstream is suspended. */
    private static final int TOLERATED_FAILURES = 2;

    private final FleetSlowness mSlowness = new FleetSlowness();
    private final Map<String, State> mStates = new HashMap<>();
    private final Map<String, Set<String>> mSuspendedByPeer = new HashMap<>();

    private static final class State {
        private int mFailures;
        private long mSuspendedUntilNanos;
        private boolean mSuspended;
        private boolean mFoundLocally;
        private boolean mStalled;
        private int mFailuresBeforeStall;
        private final Map<String, Long> mPeersUntilNanos = new HashMap<>();
    }

    /** Records a complete response. */
    public void succeeded(String upstream) {
        State state = mStates.get(upstream);
        if (state != null) {
            state.mFailures = 0;
            state.mStalled = false;
            state.mSuspended = false;
            state.mPeersUntilNanos.clear();
        }
    }

    /** Records a failure of a reachable upstream. */
    public void failed(String upstream, long nowNanos) {
        State state = state(upstream);
        state.mStalled = false;
        state.mFailures++;
        if (state.mFailures >= TOLERATED_FAILURES) {
            suspend(state, state.mFailures - TOLERATED_FAILURES, nowNanos);
        }
    }

    /** Records that the upstream could not be reached; it is suspended at once. */
    public void unreachable(String upstream, long nowNanos) {
        State state = state(upstream);
        state.mStalled = false;
        suspend(state, state.mFailures, nowNanos);
        state.mFailures++;
    }

    /**
     * Records that the upstream sends nothing for a request. It is suspended at once, until it goes
     * on or the time is up.
     */
    public void stalled(String upstream, long nowNanos) {
        State state = state(upstream);
        if (state.mStalled && state.mSuspended && nowNanos - state.mSuspendedUntilNanos < 0) {
            // Several requests see the same silence.
            return;
        }
        if (!state.mStalled) {
            state.mStalled = true;
            state.mFailuresBeforeStall = state.mFailures;
        }
        suspend(state, state.mFailures, nowNanos);
        state.mFailures++;
    }

    /** Records that the upstream goes on with a request; a stall counts no longer as a failure. */
    public void progressed(String upstream) {
        State state = mStates.get(upstream);
        if (state != null && state.mStalled) {
            state.mStalled = false;
            state.mFailures = state.mFailuresBeforeStall;
            state.mSuspended = false;
            state.mPeersUntilNanos.clear();
        }
    }

    /** Suspends an upstream for another reason than a failure, such as a pause it requested. */
    public void suspend(String upstream, Duration duration, long nowNanos) {
        State state = state(upstream);
        long until = nowNanos + duration.toNanos();
        if (!state.mSuspended || until - state.mSuspendedUntilNanos > 0) {
            state.mSuspended = true;
            state.mFoundLocally = false;
            state.mSuspendedUntilNanos = until;
        }
    }

    /**
     * Replaces the upstreams that a peer suspends because of failures that it observed, with the
     * remaining time.
     */
    public void peerReported(String peer, Map<String, Duration> suspended, long nowNanos) {
        for (String upstream : mSuspendedByPeer.getOrDefault(peer, Set.of())) {
            State state = mStates.get(upstream);
            if (state != null && !suspended.containsKey(upstream)) {
                state.mPeersUntilNanos.remove(peer);
            }
        }
        suspended.forEach(
                (id, left) -> state(id).mPeersUntilNanos.put(peer, nowNanos + left.toNanos()));
        if (suspended.isEmpty()) {
            mSuspendedByPeer.remove(peer);
        } else {
            mSuspendedByPeer.put(peer, Set.copyOf(suspended.keySet()));
        }
    }

    /** Returns true if requests may be sent to the upstream now. */
    public boolean isUsable(String upstream, long nowNanos) {
        State state = mStates.get(upstream);
        if (state == null) {
            return true;
        }
        boolean suspended = state.mSuspended && nowNanos - state.mSuspendedUntilNanos < 0;
        return !suspended
                && state.mPeersUntilNanos.values().stream().allMatch(u -> nowNanos - u >= 0);
    }

    /**
     * Returns the upstreams suspended because of failures that this instance observed, with the
     * remaining time. Suspensions reported by peers are left out, so that peers do not prolong them
     * for each other.
     */
    public Map<String, Duration> suspended(long nowNanos) {
        Map<String, Duration> suspended = new HashMap<>();
        mStates.forEach(
                (id, state) -> {
                    long left = state.mSuspendedUntilNanos - nowNanos;
                    if (state.mSuspended && state.mFoundLocally && left > 0) {
                        suspended.put(id, Duration.ofNanos(left));
                    }
                });
        return suspended;
    }

    /** Slowness of each upstream, as observed by this instance and its peers. */
    public FleetSlowness slowness() {
        return mSlowness;
    }

    /**
     * Discards the state of an upstream that was deregistered or restarted with a new incarnation.
     */
    public void remove(String upstream) {
        mStates.remove(upstream);
        mSlowness.remove(upstream);
    }

    private State state(String upstream) {
        return mStates.computeIfAbsent(upstream, ignored -> new State());
    }

    private static void suspend(State state, int doublings, long nowNanos) {
        int bounded = Math.min(doublings, 10);
        long nanos = Math.min(MAX_SUSPENSION.toNanos(), FIRST_SUSPENSION.toNanos() << bounded);
        state.mSuspended = true;
        state.mFoundLocally = true;
        state.mSuspendedUntilNanos = nowNanos + nanos;
    }
}
