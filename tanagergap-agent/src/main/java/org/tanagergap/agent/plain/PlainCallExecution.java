package org.tanagergap.agent.plain;

/** Execution of one call to a plain service. */
interface PlainCallExecution {

    void start();

    /**
     * Called when the caller no longer waits for the response. A call that was not sent is never
     * sent; a non-idempotent call that was sent continues, so that its outcome can be recorded.
     */
    void cancel();
}
