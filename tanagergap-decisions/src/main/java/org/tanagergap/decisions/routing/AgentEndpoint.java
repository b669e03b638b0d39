package org.tanagergap.decisions.routing;

/**
 * Agent to which work can be routed.
 *
 * @param name name of the upstream beside it
 * @param service service that the upstream serves
 * @param address {@code host:port}
 * @param failureDomain failure domain in which it stands
 */
public record AgentEndpoint(String name, String service, String address, String failureDomain) {}
