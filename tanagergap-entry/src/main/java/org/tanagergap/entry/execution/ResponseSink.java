package org.tanagergap.entry.execution;

import io.vertx.core.buffer.Buffer;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.protocol.v1.ResponseHead;

/** Receives the answer to one request, on the request's event loop. */
public interface ResponseSink {

    /** Receives the record of an attempt when it starts; the attempt keeps it up to date. */
    default void attemptStarted(AttemptLogRecord logRecord) {}

    /** An upstream admitted the request; called again when another attempt is admitted. */
    default void admitted(Admitted admitted) {}

    /** Receives the next token of a completion. */
    default void token(String text) {}

    /** Receives the head of a plain service's answer. */
    default void head(ResponseHead head) {}

    /** Receives the next part of a plain service's answer. */
    default void body(Buffer part) {}

    /** Whether the caller reads more slowly than the answer arrives. */
    boolean isFull();

    /** Runs the task once when the sink is no longer full. */
    void onDrain(Runnable task);

    /**
     * Ends a complete answer.
     *
     * @param oneRun whether one run processed exactly the caller's prompt, so that the engine's
     *     count of its tokens is the prompt's
     */
    void finished(Finished finished, boolean singleRun);

    /** Ends the request with a failure. */
    void failed(RequestFailure failure);
}
