package org.tanagergap.entry.execution;

/** Handle of a running request. */
@FunctionalInterface
public interface RunHandle {

    /** Tells the executor that the caller has disconnected. */
    void callerDisconnected();
}
