package org.tanagergap.entry;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.decisions.routing.RoutingRequest;

/** Router that chooses the first agent by name that has not failed the request. */
final class FakeRouter implements RequestRouter {

    private volatile List<AgentEndpoint> mAgents = List.of();
    private final Map<String, LoadHint> mHints = new ConcurrentHashMap<>();

    @Override
    public void replaceAgents(Collection<AgentEndpoint> agents) {
        mAgents = agents.stream().sorted(Comparator.comparing(AgentEndpoint::name)).toList();
    }

    @Override
    public List<AgentEndpoint> agents() {
        return mAgents;
    }

    @Override
    public Optional<AgentEndpoint> choose(RoutingRequest request) {
        return spanningCandidates(request.service()).stream()
                .filter(agent -> !request.excluded().contains(agent.name()))
                .findFirst();
    }

    @Override
    public List<AgentEndpoint> spanningCandidates(String service) {
        return mAgents.stream().filter(agent -> agent.service().equals(service)).toList();
    }

    @Override
    public void hintReceived(String agent, LoadHint hint) {
        mHints.put(agent, hint);
    }

    @Override
    public void connectionFailed(String agent) {}

    @Override
    public void connectionSucceeded(String agent) {}

    @Override
    public void attemptEnded(AttemptId attempt) {}

    @Override
    public Optional<LoadHint> hint(String agent) {
        return Optional.ofNullable(mHints.get(agent));
    }

    @Override
    public long largestMemoryTokens(String service) {
        return spanningCandidates(service).stream()
                .flatMap(agent -> hint(agent.name()).stream())
                .mapToLong(LoadHint::memoryTokensTotal)
                .max()
                .orElse(0);
    }

    @Override
    public List<AgentEndpoint> exchangeDue(long configurationVersion) {
        return mAgents.stream()
                .filter(
                        agent ->
                                hint(agent.name())
                                        .filter(h -> h.configurationVersion() >= 1)
                                        .filter(
                                                h ->
                                                        h.loadReportAge().compareTo(Duration.ZERO)
                                                                >= 0)
                                        .isEmpty())
                .toList();
    }
}
