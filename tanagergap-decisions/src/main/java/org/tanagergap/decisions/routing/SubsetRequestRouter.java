package org.tanagergap.decisions.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.tanagergap.api.lock.LockRank;
import org.tanagergap.api.lock.OrderedLock;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Chooses the agent with the lowest predicted time to the first token among a few random ones and
 * the one that has probably cached the prompt's prefix.
 */
public final class SubsetRequestRouter implements RequestRouter {

    private final OrderedLock mLock = new OrderedLock(LockRank.HINT_TABLE);
    private final RuntimeClock mClock;
    private final RouterSettings mSettings;
    private final AgentPool mPool;
    private final FirstTokenPrediction mPrediction;
    private final PrefixAffinity mAffinity = new PrefixAffinity();
    private final Map<AttemptId, SentAttempt> mAttempts = new HashMap<>();

    public SubsetRequestRouter(
            RuntimeClock clock, RouterSettings settings, RandomGenerator random) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mSettings = Objects.requireNonNull(settings, "settings must not be null");
        mPool = new AgentPool(Objects.requireNonNull(random, "random must not be null"));
        mPrediction = new FirstTokenPrediction(settings);
    }

    @Override
    public void replaceAgents(Collection<AgentEndpoint> agents) {
        mLock.run(() -> replaceLocked(agents, mClock.nanoTime()));
    }

    @Override
    public List<AgentEndpoint> agents() {
        return mLock.call(
                () -> {
                    List<AgentEndpoint> agents = new ArrayList<>();
                    mPool.all().forEach(agent -> agents.add(agent.endpoint()));
                    return agents;
                });
    }

    @Override
    public Optional<AgentEndpoint> choose(RoutingRequest request) {
        Objects.requireNonNull(request, "request must not be null");
        return mLock.call(() -> chooseLocked(request, mClock.nanoTime()));
    }

    @Override
    public List<AgentEndpoint> spanningCandidates(String service) {
        return mLock.call(
                () ->
                        mPool.usable(service).stream()
                                .filter(agent -> totalMemory(agent) > 0)
                                .map(RoutedAgent::endpoint)
                                .sorted(Comparator.comparing(AgentEndpoint::name))
                                .toList());
    }

    @Override
    public void hintReceived(String agent, LoadHint hint) {
        Objects.requireNonNull(hint, "hint must not be null");
        update(
                agent,
                routed -> {
                    routed.connectionSucceeded();
                    routed.hintReceived(hint, mClock.nanoTime());
                    mAffinity.reported(agent, hint.prefixHashes());
                });
    }

    @Override
    public void connectionFailed(String agent) {
        update(agent, routed -> routed.connectionFailed(mClock.nanoTime()));
    }

    @Override
    public void connectionSucceeded(String agent) {
        update(agent, RoutedAgent::connectionSucceeded);
    }

    @Override
    public OptionalDouble predictedSeconds(AttemptId attempt) {
        return mLock.call(
                () -> {
                    SentAttempt sent = mAttempts.get(attempt);
                    return sent == null ? OptionalDouble.empty() : sent.predictedSeconds();
                });
    }

    @Override
    public void attemptEnded(AttemptId attempt) {
        mLock.run(
                () -> {
                    SentAttempt sent = mAttempts.remove(attempt);
                    if (sent != null) {
                        sent.agent().attemptEnded(attempt);
                    }
                });
    }

    @Override
    public Optional<LoadHint> hint(String agent) {
        return mLock.call(() -> Optional.ofNullable(mPool.find(agent)).flatMap(RoutedAgent::hint));
    }

    @Override
    public long largestMemoryTokens(String service) {
        return mLock.call(
                () ->
                        mPool.usable(service).stream()
                                .mapToLong(SubsetRequestRouter::totalMemory)
                                .max()
                                .orElse(0));
    }

    @Override
    public List<AgentEndpoint> exchangeDue(long configurationVersion) {
        return mLock.call(
                () -> {
                    long now = mClock.nanoTime();
                    List<AgentEndpoint> due = new ArrayList<>();
                    for (RoutedAgent agent : mPool.all()) {
                        if (agent.startExchangeIfDue(configurationVersion, now)) {
                            due.add(agent.endpoint());
                        }
                    }
                    return due;
                });
    }

    private void replaceLocked(Collection<AgentEndpoint> agents, long now) {
        Map<String, RoutedAgent> routedAgents = new TreeMap<>();
        for (AgentEndpoint endpoint : agents) {
            RoutedAgent known = mPool.find(endpoint.name());
            // Another address means another process, whose state is unknown.
            boolean isSame = known != null && known.endpoint().address().equals(endpoint.address());
            RoutedAgent routed = isSame ? known : new RoutedAgent(endpoint, mSettings, now);
            routed.setEndpoint(endpoint);
            routedAgents.put(endpoint.name(), routed);
        }
        for (RoutedAgent old : mPool.all()) {
            if (routedAgents.get(old.name()) != old) {
                mAffinity.remove(old.name());
            }
        }
        mPool.replace(routedAgents);
    }

    private void update(String name, Consumer<RoutedAgent> change) {
        mLock.run(
                () -> {
                    RoutedAgent agent = mPool.find(name);
                    if (agent != null) {
                        boolean wasUsable = agent.isUsable();
                        change.accept(agent);
                        mPool.refresh(agent, wasUsable);
                    }
                });
    }

    private Optional<AgentEndpoint> chooseLocked(RoutingRequest request, long now) {
        Optional<RoutedAgent> chosen =
                request.affinityKey().isPresent()
                        ? byAffinityKey(request, request.affinityKey().get())
                        : byPrediction(request, now);
        Optional<RoutedAgent> agent = chosen.or(() -> probeUnreachable(request, now));
        agent.ifPresent(routed -> recordAttempt(request, routed, now));
        return agent.map(RoutedAgent::endpoint);
    }

    private Optional<RoutedAgent> byPrediction(RoutingRequest request, long now) {
        Set<RoutedAgent> candidates =
                mPool.sample(
                        request.service(),
                        mSettings.candidates(),
                        mSettings.allCandidatesUpTo(),
                        request.excluded());
        request.prefixHash()
                .flatMap(hash -> mAffinity.agent(hash, now))
                .map(mPool::find)
                .filter(agent -> agent.isUsable() && isAllowed(agent, request))
                .ifPresent(candidates::add);
        return best(candidates, request, now)
                .or(() -> best(mPool.usable(request.service()), request, now));
    }

    /** Returns the agent with the lowest prediction among those whose memory is large enough. */
    private Optional<RoutedAgent> best(
            Collection<RoutedAgent> candidates, RoutingRequest request, long now) {
        RoutedAgent best = null;
        double lowest = Double.MAX_VALUE;
        for (RoutedAgent agent : candidates) {
            if (!isAllowed(agent, request) || !isLargeEnough(agent, request)) {
                continue;
            }
            double seconds = predict(agent, request, now);
            if (seconds < lowest) {
                lowest = seconds;
                best = agent;
            }
        }
        return Optional.ofNullable(best);
    }

    private double predict(RoutedAgent agent, RoutingRequest request, long now) {
        boolean hasPrefix =
                request.prefixHash()
                        .map(hash -> mAffinity.hasPrefix(agent.name(), hash, now))
                        .orElse(false);
        return mPrediction.seconds(agent, request, hasPrefix, now);
    }

    private Optional<RoutedAgent> byAffinityKey(RoutingRequest request, String key) {
        return mPool.usable(request.service()).stream()
                .filter(agent -> isAllowed(agent, request))
                .max(
                        Comparator.comparingLong(
                                        (RoutedAgent a) -> RendezvousHash.score(key, a.name()))
                                .thenComparing(RoutedAgent::name));
    }

    /** When no agent is usable, the request serves as a probe of an agent that is due for one. */
    private Optional<RoutedAgent> probeUnreachable(RoutingRequest request, long now) {
        for (RoutedAgent agent : mPool.all()) {
            if (isAllowed(agent, request) && agent.isProbeDue(now)) {
                agent.probeStarted(now);
                return Optional.of(agent);
            }
        }
        return Optional.empty();
    }

    private void recordAttempt(RoutingRequest request, RoutedAgent agent, long now) {
        OptionalDouble predicted =
                request.affinityKey().isPresent()
                        ? OptionalDouble.empty()
                        : OptionalDouble.of(predict(agent, request, now));
        SentAttempt before = mAttempts.put(request.attemptId(), new SentAttempt(agent, predicted));
        if (before != null) {
            before.agent().attemptEnded(request.attemptId());
        }
        agent.attemptSent(request.attemptId(), request.cost(), now);
        request.prefixHash().ifPresent(hash -> mAffinity.chosen(hash, agent.name(), now));
    }

    private static boolean isAllowed(RoutedAgent agent, RoutingRequest request) {
        return agent.endpoint().service().equals(request.service())
                && !request.excluded().contains(agent.name());
    }

    private static boolean isLargeEnough(RoutedAgent agent, RoutingRequest request) {
        long total = totalMemory(agent);
        return total == 0 || RoutedAgent.memoryTokens(request.cost()) <= total;
    }

    private static long totalMemory(RoutedAgent agent) {
        return agent.hint().map(LoadHint::memoryTokensTotal).orElse(0L);
    }
}
