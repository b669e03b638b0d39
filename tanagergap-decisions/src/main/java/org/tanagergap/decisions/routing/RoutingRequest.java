package org.tanagergap.decisions.routing;

import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;

/**
 * Attempt that needs an agent.
 *
 * @param attemptId identifier of the attempt
 * @param service name of the called service
 * @param rankPriority priority of the request's rank
 * @param cost estimated work; zero for plain services
 * @param prefixHash hash of the start of the prompt, for cache affinity
 * @param affinityKey key that is routed to the same agent each time, for at-most-once calls
 * @param excluded names of agents that refused or failed this request
 */
public record RoutingRequest(
        AttemptId attemptId,
        String service,
        int rankPriority,
        RequestCost cost,
        Optional<String> prefixHash,
        Optional<String> affinityKey,
        Set<String> excluded) {

    public RoutingRequest {
        excluded = Set.copyOf(excluded);
    }
}
