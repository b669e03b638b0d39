package org.tanagergap.entry.execution;

import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.decisions.stall.StallDecision;
import org.tanagergap.protocol.v1.RunEvent;

/** Receives the accepted events and the end of one attempt, on the event loop of the request. */
interface AgentAttemptListener {

    /** Receives an event other than a failure. */
    void event(AgentAttempt attempt, RunEvent event);

    /** Called at most once, when the attempt fails, and never after the finished event. */
    void failed(AgentAttempt attempt, RequestFailure failure);

    /**
     * Called each time when nothing has arrived for the idle timeout.
     *
     * @return what follows from it
     */
    StallDecision stalled(AgentAttempt attempt);
}
