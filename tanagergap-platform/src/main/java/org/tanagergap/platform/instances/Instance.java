package org.tanagergap.platform.instances;

/**
 * Instance as the platform lists it.
 *
 * @param name unique name; for agents the name of the upstream beside them
 * @param address {@code host:port}
 * @param failureDomain failure domain in which it stands
 * @param terminating whether it is about to end
 */
public record Instance(String name, String address, String failureDomain, boolean terminating) {}
