package org.tanagergap.agent.attempt;

import org.tanagergap.protocol.v1.RunEvent;

/** Receives the events of one attempt, in order. */
public interface EventSink {

    /** Sends an event to the caller. */
    void send(RunEvent event);

    /** Ends the call after its last event. */
    void end();
}
