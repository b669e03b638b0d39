package org.tanagergap.api.configuration;

/**
 * Back end that serves one service.
 *
 * @param name unique name
 * @param service name of the service
 * @param agentAddress address of its agent, {@code host:port}
 * @param failureDomain failure domain of the upstream
 * @param memoryTokens memory of a model engine, in tokens; 0 for plain services
 * @param concurrency maximum number of calls in flight on a plain service; 0 for model engines
 * @param checksFencing true if the upstream refuses orders with an outdated fencing number
 */
public record UpstreamDefinition(
        String name,
        String service,
        String agentAddress,
        String failureDomain,
        long memoryTokens,
        int concurrency,
        boolean checksFencing) {}
