package org.tanagergap.platform.instances;

/**
 * Instance in the platform's list.
 *
 * @param name unique name; for an agent the name of its upstream
 * @param address {@code host:port}
 * @param failureDomain failure domain of the instance
 * @param terminating true if the instance is shutting down
 */
public record Instance(String name, String address, String failureDomain, boolean terminating) {}
