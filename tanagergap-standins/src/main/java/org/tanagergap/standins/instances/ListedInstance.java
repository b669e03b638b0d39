package org.tanagergap.standins.instances;

/**
 * Instance in the instance list.
 *
 * @param address {@code host:port}
 * @param failureDomain failure domain of the instance
 * @param terminating whether the instance is shutting down
 */
public record ListedInstance(String address, String failureDomain, boolean terminating) {}
