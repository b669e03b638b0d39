package org.tanagergap.decisions.routing;

/**
 * Agent to which work can be routed.
 *
 * @param name name of the upstream that the agent serves
 * @param service service of the upstream
 * @param address {@code host:port}
 * @param failureDomain failure domain of the agent
 */
public record AgentEndpoint(String name, String service, String address, String failureDomain) {}
