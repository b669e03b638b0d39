package org.tanagergap.decisions.scheduling;

import java.util.List;
import org.tanagergap.api.request.AttemptId;

/**
 * Differences between the reservations and the runs that the engine lists.
 *
 * @param orphans runs without a reservation, which the agent cancels
 * @param released reservations that the engine no longer has a run for; their attempts have ended
 */
public record ReconcileResult(List<AttemptId> orphans, List<AttemptId> released) {

    public ReconcileResult {
        orphans = List.copyOf(orphans);
        released = List.copyOf(released);
    }
}
