package org.tanagergap.decisions.baseline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.tanagergap.api.lock.LockRank;
import org.tanagergap.api.lock.OrderedLock;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.routing.RendezvousHash;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.decisions.routing.RoutingRequest;

/**
 * Round-robin router, for comparison only. It uses hints only to skip agents that refuse work, and
 * skips unreachable agents for a fixed time.
 */
public final class RoundRobinRouter implements RequestRouter {

    private static final Duration EXCHANGE_INTERVAL = Duration.ofSeconds(2);
    private static final Duration UNREACHABLE_SKIP_TIME = Duration.ofSeconds(1);

    private final OrderedLock mLock = new OrderedLock(LockRank.HINT_TABLE);
    private final RuntimeClock mClock;
    private final Map<String, AgentEndpoint> mAgents = new TreeMap<>();
    private final Map<String, LoadHint> mHints = new HashMap<>();
    private final Map<String, Long> mExchangeNanos = new HashMap<>();
    private final Map<String, Long> mFailedNanos = new HashMap<>();
    private final Map<String, Integer> mTurn = new HashMap<>();

    public RoundRobinRouter(RuntimeClock clock) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
    }

    @Override
    public void replaceAgents(Collection<AgentEndpoint> agents) {
        mLock.run(
                () -> {
                    mAgents.clear();
                    agents.forEach(agent -> mAgents.put(agent.name(), agent));
                    mHints.keySet().retainAll(mAgents.keySet());
                    mExchangeNanos.keySet().retainAll(mAgents.keySet());
                    mFailedNanos.keySet().retainAll(mAgents.keySet());
                });
    }

    @Override
    public List<AgentEndpoint> agents() {
        return mLock.call(() -> List.copyOf(mAgents.values()));
    }

    @Override
    public Optional<AgentEndpoint> choose(RoutingRequest request) {
        return mLock.call(
                () -> {
                    List<AgentEndpoint> usable =
                            usable(request.service()).stream()
                                    .filter(a -> !request.excluded().contains(a.name()))
                                    .toList();
                    if (usable.isEmpty()) {
                        return Optional.empty();
                    }
                    if (request.affinityKey().isPresent()) {
                        return RendezvousHash.first(
                                        request.affinityKey().get(), usable, AgentEndpoint::name, 1)
                                .stream()
                                .findFirst();
                    }
                    int turn = mTurn.merge(request.service(), 1, Integer::sum);
                    return Optional.of(usable.get(Math.floorMod(turn, usable.size())));
                });
    }

    @Override
    public List<AgentEndpoint> spanningCandidates(String service) {
        return mLock.call(
                () -> usable(service).stream().filter(agent -> totalMemory(agent) > 0).toList());
    }

    @Override
    public void hintReceived(String agent, LoadHint hint) {
        mLock.run(
                () -> {
                    if (mAgents.containsKey(agent)) {
                        mHints.put(agent, hint);
                        mExchangeNanos.put(agent, mClock.nanoTime());
                        mFailedNanos.remove(agent);
                    }
                });
    }

    @Override
    public void connectionFailed(String agent) {
        mLock.run(
                () -> {
                    if (mAgents.containsKey(agent)) {
                        mFailedNanos.put(agent, mClock.nanoTime());
                    }
                });
    }

    @Override
    public void connectionSucceeded(String agent) {
        mLock.run(() -> mFailedNanos.remove(agent));
    }

    @Override
    public void attemptEnded(AttemptId attempt) {
        // The rotation does not depend on attempts in flight.
    }

    @Override
    public Optional<LoadHint> hint(String agent) {
        return mLock.call(() -> Optional.ofNullable(mHints.get(agent)));
    }

    @Override
    public long largestMemoryTokens(String service) {
        return mLock.call(
                () -> usable(service).stream().mapToLong(this::totalMemory).max().orElse(0));
    }

    @Override
    public List<AgentEndpoint> exchangeDue(long configurationVersion) {
        return mLock.call(
                () -> {
                    long now = mClock.nanoTime();
                    List<AgentEndpoint> due = new ArrayList<>();
                    for (AgentEndpoint agent : mAgents.values()) {
                        Long last = mExchangeNanos.get(agent.name());
                        LoadHint hint = mHints.get(agent.name());
                        boolean isBehind =
                                hint != null && hint.configurationVersion() < configurationVersion;
                        if (last == null || isBehind || now - last >= EXCHANGE_INTERVAL.toNanos()) {
                            mExchangeNanos.put(agent.name(), now);
                            due.add(agent);
                        }
                    }
                    return due;
                });
    }

    private List<AgentEndpoint> usable(String service) {
        long now = mClock.nanoTime();
        return mAgents.values().stream()
                .filter(agent -> agent.service().equals(service))
                .filter(agent -> !refuses(agent))
                .filter(agent -> isReachable(agent, now))
                .toList();
    }

    private boolean refuses(AgentEndpoint agent) {
        LoadHint hint = mHints.get(agent.name());
        return hint != null && (hint.draining() || !hint.upstreamReady());
    }

    private boolean isReachable(AgentEndpoint agent, long now) {
        Long failed = mFailedNanos.get(agent.name());
        return failed == null || now - failed >= UNREACHABLE_SKIP_TIME.toNanos();
    }

    private long totalMemory(AgentEndpoint agent) {
        LoadHint hint = mHints.get(agent.name());
        return hint == null ? 0 : hint.memoryTokensTotal();
    }
}
