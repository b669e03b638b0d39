package org.tanagergap.gateway.membership;

/**
 * How far a copy of the store is, as instances tell each other.
 *
 * @param revision revision of the store that the copy reflects
 * @param lastChange revision of the last change that mattered; heartbeats of upstreams do not
 */
public record ReplicaProgress(long revision, long lastChange) {}
