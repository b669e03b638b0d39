package org.tanagergap.agent.attempt;

import org.tanagergap.protocol.v1.RunEvent;

/** Receives the events of one attempt, in order. */
public interface EventSink {

    /** Sends an event to the caller. */
    void send(RunEvent event);

    /** Whether the caller takes events more slowly than they are sent. */
    boolean isFull();

    /** Runs the action once, when a full sink takes events again. */
    void onDrain(Runnable action);

    /** Ends the call after its last event. */
    void end();
}
