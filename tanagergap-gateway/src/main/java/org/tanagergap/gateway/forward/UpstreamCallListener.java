package org.tanagergap.gateway.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/**
 * Is told of the course of one call to an upstream: either events and then {@code streamEnded}, or
 * {@code answered}, or at any point {@code failed}; nothing after a cancellation.
 */
interface UpstreamCallListener {

    /** An event of a stream has arrived. */
    void event(UpstreamResponseHead head, MultiMap headers, StreamEvent event);

    /** The stream has ended after its last event. */
    void streamEnded(UpstreamResponseHead head, MultiMap headers);

    /** A whole answer that is no stream has arrived. */
    void responseReceived(UpstreamResponseHead head, MultiMap headers, Buffer body);

    /** The call has failed. */
    void failed(CallFailure failure);
}
