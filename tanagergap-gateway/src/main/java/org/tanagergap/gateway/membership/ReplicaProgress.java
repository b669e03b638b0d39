package org.tanagergap.gateway.membership;

import org.tanagergap.api.store.StorePosition;

/**
 * Progress of a replica of the store, which instances report to each other.
 *
 * @param position position of the store that the replica reflects
 * @param lastChange position of the last change that affected the fleet; heartbeats of upstreams do
 *     not count
 */
public record ReplicaProgress(StorePosition position, StorePosition lastChange) {}
