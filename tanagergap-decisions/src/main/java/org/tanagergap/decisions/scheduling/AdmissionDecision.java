package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.List;
import org.tanagergap.api.failure.FailureCode;

/** Answer to a work item that asks for admission. */
public sealed interface AdmissionDecision {

    /**
     * The item waits in the queue.
     *
     * @param predictedWait time until dispatch
     * @param displaced queued items that lost their place and must be refused as not run
     */
    record Queued(Duration predictedWait, List<WorkItem> displaced) implements AdmissionDecision {}

    /**
     * The item is refused and has not run.
     *
     * @param code reason
     * @param message explanation for the caller
     * @param retryAfter when a retry may succeed
     */
    record Refused(FailureCode code, String message, Duration retryAfter)
            implements AdmissionDecision {}
}
