package org.tanagergap.standins.instances;

/**
 * Instance as the truth has it.
 *
 * @param address {@code host:port}
 * @param failureDomain failure domain in which it stands
 * @param terminating whether it is about to end
 */
public record ListedInstance(String address, String failureDomain, boolean terminating) {}
