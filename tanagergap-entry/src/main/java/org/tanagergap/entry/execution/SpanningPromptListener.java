package org.tanagergap.entry.execution;

import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.decisions.routing.AgentEndpoint;

/** Receives the result of reserving and prefilling a prompt over several agents. */
interface SpanningPromptListener {

    /**
     * All segments but the last are prefilled.
     *
     * @param agent agent that decodes
     * @param last work for the last segment
     * @param reservation hold and preceding segments
     */
    void segmentsPrefilled(
            AgentEndpoint agent,
            RequestPayload.Completion lastSegment,
            SpanningPromptReservation reservation);

    /** The prompt could not be placed; all holds are being released. */
    void spanningPromptFailed(RequestFailure failure);
}
