package org.tanagergap.decisions.fleet;

import java.util.List;
import java.util.Optional;

/** Chooses where a request runs. */
@FunctionalInterface
public interface PlacementPolicy {

    /** Chooses among the candidates; empty when the request has to wait. */
    Optional<Placement> choose(PlacementRequest request, List<UpstreamCandidate> candidates);
}
