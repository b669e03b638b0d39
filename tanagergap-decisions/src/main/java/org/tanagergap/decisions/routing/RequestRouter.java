package org.tanagergap.decisions.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.tanagergap.api.request.AttemptId;

/** Chooses the agent for each attempt, within one entry. Performs no I/O and is thread-safe. */
public interface RequestRouter {

    /**
     * Replaces the agents with those of the configuration and the instance list; agents that stay
     * keep their hints.
     */
    void replaceAgents(Collection<AgentEndpoint> agents);

    /**
     * Returns the time to the first token that was predicted when the agent of an attempt was
     * chosen; absent after {@link #attemptEnded} and for choices that are not made by prediction.
     */
    default OptionalDouble predictedSeconds(AttemptId attempt) {
        return OptionalDouble.empty();
    }

    /** Returns the agents of the subset, including unreachable ones. */
    List<AgentEndpoint> agents();

    /** Chooses an agent and counts the attempt as sent to it until {@link #attemptEnded}. */
    Optional<AgentEndpoint> choose(RoutingRequest request);

    /**
     * Returns the usable agents of a service that have reported their memory, in ascending order of
     * name.
     */
    List<AgentEndpoint> spanningCandidates(String service);

    /** Records a hint. */
    void hintReceived(String agent, LoadHint hint);

    /** Records that a connection was refused or broke before a response. */
    void connectionFailed(String agent);

    /** Records that the agent replied, so that it is reachable. */
    void connectionSucceeded(String agent);

    /** Stops counting the attempt. */
    void attemptEnded(AttemptId attempt);

    /** Returns the latest hint of an agent. */
    Optional<LoadHint> hint(String agent);

    /** Returns the largest memory of any usable agent of the service, in tokens; 0 when unknown. */
    long largestMemoryTokens(String service);

    /**
     * Returns the agents whose hint is older than the exchange interval or whose configuration
     * version is behind.
     */
    List<AgentEndpoint> exchangeDue(long configurationVersion);
}
