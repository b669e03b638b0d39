package org.tanagergap.gateway.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/** Receives the progress of one attempt; not called after its cancellation. */
interface UpstreamAttemptListener {

    /** Called when the next event of the stream has arrived. */
    void event(UpstreamResponseHead head, MultiMap headers, StreamEvent event);

    /** Called when the stream has ended after its last event. */
    void streamEnded(UpstreamResponseHead head, MultiMap headers);

    /** Called when a complete response that is not a stream has arrived. */
    void responseReceived(UpstreamResponseHead head, MultiMap headers, Buffer body);

    /**
     * Called when the attempt has failed.
     *
     * @param upstream upstream at fault, which may be a helper engine
     */
    void failed(String upstream, CallFailure failure);

    /**
     * Reserves a retry at another upstream, for which the attempt at the idle one would be ended.
     *
     * @return true if the request may be retried, another upstream can take it and the retry budget
     *     allowed the retry
     */
    boolean tryReserveRetryElsewhere(String idleUpstream);
}
