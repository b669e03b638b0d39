package org.tanagergap.gateway.membership;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.platform.keyvalue.Changes;

/** Copies of the store that peers hold, for an instance that the store does not answer. */
@FunctionalInterface
public interface PeerReplicas {

    /**
     * Asks the peer with the newest copy for what has changed after the revision; empty when no
     * peer has a newer copy.
     */
    Optional<CompletableFuture<Changes>> changesAfter(long revision);
}
