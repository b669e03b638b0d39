package org.tanagergap.agent.attempt;

import org.tanagergap.protocol.v1.RunEvent;

/** Receives the events of one attempt, in order. */
public interface EventSink {

    /** Sends an event to the caller. */
    void send(RunEvent event);

    /** True while the write queue to the caller is full. */
    boolean isFull();

    /** Runs the action once, when a full sink accepts events again. */
    void onDrain(Runnable action);

    /** Ends the call after its last event. */
    void end();
}
