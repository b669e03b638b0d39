package org.tanagergap.entry.execution;

import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.decisions.routing.AgentEndpoint;

/** Receives the result of reserving and prefilling a prompt over several agents. */
interface SpanListener {

    /**
     * All segments but the last are prefilled.
     *
     * @param agent agent that decodes
     * @param last work for the last segment
     * @param reservation hold and preceding segments
     */
    void placed(AgentEndpoint agent, Work.Completion last, SpanReservation reservation);

    /** The prompt could not be placed; all holds are being released. */
    void spanFailed(RequestFailure failure);
}
