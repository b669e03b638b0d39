package org.tanagergap.entry.execution;

/** Handle of a running request. */
@FunctionalInterface
public interface RunHandle {

    /** Cancels the request and its attempt; the sink is not called any more. */
    void cancel();
}
