package org.tanagergap.decisions.fleet;

import java.util.List;
import java.util.Optional;
import org.tanagergap.api.request.RequestCost;

/** Chooses where a request runs. */
@FunctionalInterface
public interface PlacementPolicy {

    /**
     * Chooses among the candidates; empty when the request has to wait.
     *
     * @param cost tokens of the request; none for a plain call
     */
    Optional<Placement> choose(RequestCost cost, List<UpstreamCandidate> candidates);
}
