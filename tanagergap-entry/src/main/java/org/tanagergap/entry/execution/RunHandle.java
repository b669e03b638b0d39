package org.tanagergap.entry.execution;

/** Handle of a running request. */
@FunctionalInterface
public interface RunHandle {

    /** Cancels the request and its attempt; the sink receives no further calls. */
    void cancel();
}
