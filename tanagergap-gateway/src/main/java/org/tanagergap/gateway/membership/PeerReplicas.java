package org.tanagergap.gateway.membership;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.store.StorePosition;

/** Replicas of the store at the peers of this instance. */
@FunctionalInterface
public interface PeerReplicas {

    /**
     * Requests the changes after the position from a peer; empty if no peer has a newer replica.
     */
    Optional<CompletableFuture<PeerChanges>> changesAfter(StorePosition position);
}
