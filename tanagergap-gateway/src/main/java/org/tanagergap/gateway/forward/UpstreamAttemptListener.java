package org.tanagergap.gateway.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/** Is told of the course of one attempt; nothing after its cancellation. */
interface UpstreamAttemptListener {

    /** The next event of the stream has arrived. */
    void event(UpstreamResponseHead head, MultiMap headers, StreamEvent event);

    /** The stream has ended after its last event. */
    void streamEnded(UpstreamResponseHead head, MultiMap headers);

    /** A whole answer that is no stream has arrived. */
    void responseReceived(UpstreamResponseHead head, MultiMap headers, Buffer body);

    /** The attempt has failed; the upstream is the one at fault, which may be a helper. */
    void failed(String upstream, CallFailure failure);

    /**
     * Whether the request may and can go on at another upstream when the attempt at the silent one
     * is ended; a positive answer spends the retry.
     */
    boolean tryReserveRetryElsewhere(String idleUpstream);
}
