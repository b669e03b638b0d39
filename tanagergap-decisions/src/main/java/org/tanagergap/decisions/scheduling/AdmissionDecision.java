package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.List;
import org.tanagergap.api.failure.FailureCode;

/** Result of submitting a work item to a scheduler. */
public sealed interface AdmissionDecision {

    /**
     * The item waits in the queue.
     *
     * @param predictedWait predicted time until dispatch
     * @param displaced items removed from the full queue, to be refused as not run
     */
    record Queued(Duration predictedWait, List<WorkItem> displaced) implements AdmissionDecision {}

    /**
     * The item is refused and has not run.
     *
     * @param code reason
     * @param message explanation for the caller
     * @param retryAfter time after which a retry may succeed
     */
    record Refused(FailureCode code, String message, Duration retryAfter)
            implements AdmissionDecision {}
}
