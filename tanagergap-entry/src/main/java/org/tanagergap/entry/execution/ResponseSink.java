package org.tanagergap.entry.execution;

import io.vertx.core.buffer.Buffer;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.Finished;
import org.tanagergap.protocol.v1.ResponseHead;

/** Receives the response to one request, on the event loop of the request. */
public interface ResponseSink {

    /** Called when an attempt starts; the attempt updates the record until it ends. */
    default void attemptStarted(AttemptLogRecord logRecord) {}

    /** Called each time an upstream admits an attempt of the request. */
    default void admitted(Admitted admitted) {}

    /** Receives the next token of a completion. */
    default void token(String text) {}

    /** Receives the status and headers of a plain service's response. */
    default void head(ResponseHead head) {}

    /** Receives the next chunk of a plain service's response body. */
    default void body(Buffer part) {}

    /** Returns true while the caller reads more slowly than the response arrives. */
    boolean isFull();

    /** Sets a task that runs once, when the sink is no longer full. */
    void onDrain(Runnable task);

    /**
     * Ends a complete response.
     *
     * @param singleRun true if a single run processed exactly the caller's prompt, so that the
     *     engine's prompt token count applies to that prompt
     */
    void finished(Finished finished, boolean singleRun);

    /** Ends the request with a failure. */
    void failed(RequestFailure failure);
}
