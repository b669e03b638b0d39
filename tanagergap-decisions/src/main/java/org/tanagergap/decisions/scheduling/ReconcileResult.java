package org.tanagergap.decisions.scheduling;

import java.util.List;
import org.tanagergap.api.request.AttemptId;

/**
 * Differences between the ledger and the engine's list of runs.
 *
 * @param orphans runs that the agent does not know; it cancels them
 * @param released reservations whose run is gone; their attempts have ended
 */
public record ReconcileResult(List<AttemptId> orphans, List<AttemptId> released) {

    public ReconcileResult {
        orphans = List.copyOf(orphans);
        released = List.copyOf(released);
    }
}
