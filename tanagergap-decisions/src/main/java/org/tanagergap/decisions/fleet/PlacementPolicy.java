package org.tanagergap.decisions.fleet;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream of a request. */
@FunctionalInterface
public interface PlacementPolicy {

    /** Chooses among the candidates; empty when the request has to wait. */
    Optional<Placement> choose(PlacementRequest request, List<UpstreamCandidate> candidates);
}
