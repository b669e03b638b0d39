package org.tanagergap.agent.plain;

/** Call between its start and its end. */
interface PlainCallExecution {

    /** Starts the call. */
    void start();

    /**
     * Tells that nobody waits for the answer any more. A call that was not sent is never sent; a
     * non-idempotent call that was sent continues, so that its outcome can be recorded.
     */
    void cancel();
}
