package org.tanagergap.decisions.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.tanagergap.api.request.AttemptId;

/**
 * Chooses the agent for each attempt, within one entry. Performs no I/O and is safe for use by
 * several threads.
 */
public interface RequestRouter {

    /**
     * Replaces the agents that configuration and instance list propose; keeps hints of known ones.
     */
    void replaceAgents(Collection<AgentEndpoint> agents);

    /**
     * Time to the first token that was predicted when the agent of an attempt was chosen; absent
     * after {@link #attemptEnded} and for choices that are not made by prediction.
     */
    default OptionalDouble predictedSeconds(AttemptId attempt) {
        return OptionalDouble.empty();
    }

    /** Agents of the subset that are in use or probed. */
    List<AgentEndpoint> agents();

    /** Chooses an agent and counts the attempt as sent to it until {@link #attemptEnded}. */
    Optional<AgentEndpoint> choose(RoutingRequest request);

    /** Usable agents of a service whose memory is known, in ascending order of name. */
    List<AgentEndpoint> spanningCandidates(String service);

    /** Records a hint. */
    void hintReceived(String agent, LoadHint hint);

    /** Records that a connection was refused or broke before an answer. */
    void connectionFailed(String agent);

    /** Records that the agent answered, so that it is reachable. */
    void connectionSucceeded(String agent);

    /** Stops counting the attempt. */
    void attemptEnded(AttemptId attempt);

    /** Latest hint of an agent. */
    Optional<LoadHint> hint(String agent);

    /** Largest memory of any live agent of the service, in tokens; 0 when unknown. */
    long largestMemoryTokens(String service);

    /** Agents whose hint is older than the exchange interval or whose version is behind. */
    List<AgentEndpoint> exchangeDue(long configurationVersion);
}
