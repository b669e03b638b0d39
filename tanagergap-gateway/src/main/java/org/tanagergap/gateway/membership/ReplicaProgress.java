package org.tanagergap.gateway.membership;

/**
 * Progress of a replica of the store, which instances report to each other.
 *
 * @param revision revision of the store that the replica reflects
 * @param lastChange revision of the last change that affected the fleet; heartbeats of upstreams do
 *     not count
 */
public record ReplicaProgress(long revision, long lastChange) {}
