package org.tanagergap.gateway.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/**
 * Receives the progress of one call to an upstream: {@code requestSent}, {@code bodySent} and
 * {@code headReceived}, then events and {@code streamEnded}, or {@code responseReceived}, or {@code
 * failed} at any point, after {@code responseInvalid} if what arrived is not a valid response. Not
 * called after a cancellation.
 */
interface UpstreamCallListener {

    /** Called when the connection is open and the request is sent on it. */
    void requestSent();

    /** Called when the last part of the request has been written. */
    void bodySent();

    /** Called when the head of a response has arrived, before its result. */
    void headReceived(UpstreamResponseHead head);

    /** Called when an event of a stream has arrived. */
    void event(UpstreamResponseHead head, MultiMap headers, StreamEvent event);

    /** Called when the stream has ended after its last event. */
    void streamEnded(UpstreamResponseHead head, MultiMap headers);

    /**
     * Called when a complete response that is not a stream has arrived.
     *
     * @param release to be run when the body is no longer in use
     */
    void responseReceived(
            UpstreamResponseHead head, MultiMap headers, Buffer body, Runnable release);

    /** Called when what has arrived is not a valid response, before the call fails. */
    void responseInvalid(String fault);

    /** Called when the call has failed. */
    void failed(CallFailure failure);
}
