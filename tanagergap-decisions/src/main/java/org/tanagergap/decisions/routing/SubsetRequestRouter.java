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
 * the one that probably holds the prompt's prefix.
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
                                .map(AgentState::endpoint)
                                .sorted(Comparator.comparing(AgentEndpoint::name))
                                .toList());
    }

    @Override
    public void hintReceived(String agent, LoadHint hint) {
        Objects.requireNonNull(hint, "hint must not be null");
        update(
                agent,
                state -> {
                    state.connectionSucceeded();
                    state.hintReceived(hint, mClock.nanoTime());
                    mAffinity.reported(agent, hint.prefixHashes());
                });
    }

    @Override
    public void connectionFailed(String agent) {
        update(agent, state -> state.connectionFailed(mClock.nanoTime()));
    }

    @Override
    public void connectionSucceeded(String agent) {
        update(agent, AgentState::connectionSucceeded);
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
        return mLock.call(() -> Optional.ofNullable(mPool.find(agent)).flatMap(AgentState::hint));
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
                    for (AgentState agent : mPool.all()) {
                        if (agent.takeExchange(configurationVersion, now)) {
                            due.add(agent.endpoint());
                        }
                    }
                    return due;
                });
    }

    private void replaceLocked(Collection<AgentEndpoint> agents, long now) {
        Map<String, AgentState> states = new TreeMap<>();
        for (AgentEndpoint endpoint : agents) {
            AgentState known = mPool.find(endpoint.name());
            // Another address means another process, for which nothing that is known holds.
            boolean isSame = known != null && known.endpoint().address().equals(endpoint.address());
            AgentState state = isSame ? known : new AgentState(endpoint, mSettings, now);
            state.setEndpoint(endpoint);
            states.put(endpoint.name(), state);
        }
        for (AgentState old : mPool.all()) {
            if (states.get(old.name()) != old) {
                mAffinity.forget(old.name());
            }
        }
        mPool.replace(states);
    }

    private void update(String name, Consumer<AgentState> change) {
        mLock.run(
                () -> {
                    AgentState agent = mPool.find(name);
                    if (agent != null) {
                        boolean wasUsable = agent.isUsable();
                        change.accept(agent);
                        mPool.refresh(agent, wasUsable);
                    }
                });
    }

    private Optional<AgentEndpoint> chooseLocked(RoutingRequest request, long now) {
        Optional<AgentState> chosen =
                request.affinityKey().isPresent()
                        ? byAffinityKey(request, request.affinityKey().get())
                        : byPrediction(request, now);
        Optional<AgentState> agent = chosen.or(() -> unreachable(request, now));
        agent.ifPresent(state -> count(request, state, now));
        return agent.map(AgentState::endpoint);
    }

    private Optional<AgentState> byPrediction(RoutingRequest request, long now) {
        Set<AgentState> candidates =
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

    /** Agent with the lowest prediction among those whose memory is large enough. */
    private Optional<AgentState> best(
            Collection<AgentState> candidates, RoutingRequest request, long now) {
        AgentState best = null;
        double lowest = Double.MAX_VALUE;
        for (AgentState agent : candidates) {
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

    private double predict(AgentState agent, RoutingRequest request, long now) {
        boolean holdsPrefix =
                request.prefixHash()
                        .map(hash -> mAffinity.holds(agent.name(), hash, now))
                        .orElse(false);
        return mPrediction.seconds(agent, request, holdsPrefix, now);
    }

    private Optional<AgentState> byAffinityKey(RoutingRequest request, String key) {
        return mPool.usable(request.service()).stream()
                .filter(agent -> isAllowed(agent, request))
                .max(
                        Comparator.comparingLong(
                                        (AgentState a) -> RendezvousHash.score(key, a.name()))
                                .thenComparing(AgentState::name));
    }

    /** When no agent is usable, a request serves as the probe of one that is due for it. */
    private Optional<AgentState> unreachable(RoutingRequest request, long now) {
        for (AgentState agent : mPool.all()) {
            if (isAllowed(agent, request) && agent.isProbeDue(now)) {
                agent.probeStarted(now);
                return Optional.of(agent);
            }
        }
        return Optional.empty();
    }

    private void count(RoutingRequest request, AgentState agent, long now) {
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

    private static boolean isAllowed(AgentState agent, RoutingRequest request) {
        return agent.endpoint().service().equals(request.service())
                && !request.excluded().contains(agent.name());
    }

    private static boolean isLargeEnough(AgentState agent, RoutingRequest request) {
        long total = totalMemory(agent);
        return total == 0 || AgentState.memoryTokens(request.cost()) <= total;
    }

    private static long totalMemory(AgentState agent) {
        return agent.hint().map(LoadHint::memoryTokensTotal).orElse(0L);
    }
}
