package org.tanagergap.entry.execution;

import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.decisions.routing.AgentEndpoint;

/** Receives the result of the reservation and prefill of a spanning prompt. */
interface SpanningPromptListener {

    /**
     * Called when all segments but the last are prefilled.
     *
     * @param agent agent that prefills the last segment and decodes
     * @param lastSegment completion of the last segment
     * @param reservation memory reservation and preceding segments
     */
    void segmentsPrefilled(
            AgentEndpoint agent,
            RequestPayload.Completion lastSegment,
            SpanningPromptReservation reservation);

    /** Called when the prompt could not be placed; all reservations are being released. */
    void spanningPromptFailed(RequestFailure failure);
}
