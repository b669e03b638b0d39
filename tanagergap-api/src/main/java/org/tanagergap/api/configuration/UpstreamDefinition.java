package org.tanagergap.api.configuration;

/**
 * Back end that serves one service.
 *
 * @param name unique name
 * @param service name of the service
 * @param agentAddress address of the agent beside it, {@code host:port}
 * @param failureDomain failure domain in which it stands
 * @param memoryTokens memory of a model engine, in tokens; 0 for plain services
 * @param concurrency most calls in flight on a plain service; 0 for model engines
 * @param checksFencing whether it refuses orders with an old fencing number
 */
public record UpstreamDefinition(
        String name,
        String service,
        String agentAddress,
        String failureDomain,
        long memoryTokens,
        int concurrency,
        boolean checksFencing) {}
