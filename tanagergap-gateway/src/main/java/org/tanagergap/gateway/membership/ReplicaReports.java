package org.tanagergap.gateway.membership;

import java.util.Optional;
import org.tanagergap.decisions.replication.PeerRead;

/** What instances report to each other about their replicas of the store. */
public interface ReplicaReports {

    /** Progress of the local replica. */
    ReplicaProgress progress();

    /** Reads of the store by this instance. */
    PeerRead storeRead();

    /**
     * Receives the report of a peer.
     *
     * @param read reads of the store by the peer; peers of earlier versions do not report them
     */
    void peerReported(String id, ReplicaProgress progress, Optional<PeerRead> read);
}
