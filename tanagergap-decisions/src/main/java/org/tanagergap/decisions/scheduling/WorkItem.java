package org.tanagergap.decisions.scheduling;

import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.decisions.policy.PolicyStamp;

/**
 * Attempt to be admitted to an upstream.
 *
 * @param attemptId identifier of the attempt
 * @param policy scheduling properties
 * @param cost estimated work
 * @param deadline time by which the request must have finished or failed
 */
public record WorkItem(
        AttemptId attemptId, PolicyStamp policy, RequestCost cost, Deadline deadline) {

    /** Returns the band of the prompt's length. */
    public LengthBand lengthBand() {
        return LengthBand.of(cost.promptTokens());
    }
}
