package org.tanagergap.gateway.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import org.tanagergap.gateway.wire.UpstreamResponseHead;

/** Receives the progress of one attempt; not called after its cancellation. */
interface UpstreamAttemptListener {

    /** Called when the next event of the stream has arrived. */
    void event(
            UpstreamAttempt attempt,
            UpstreamResponseHead head,
            MultiMap headers,
            StreamEvent event);

    /** Called when the stream has ended after its last event. */
    void streamEnded(UpstreamAttempt attempt, UpstreamResponseHead head, MultiMap headers);

    /** Called when a complete response that is not a stream has arrived. */
    void responseReceived(
            UpstreamAttempt attempt, UpstreamResponseHead head, MultiMap headers, Buffer body);

    /**
     * Called when the attempt has failed.
     *
     * @param upstream upstream at fault, which may be a helper engine
     */
    void failed(UpstreamAttempt attempt, String upstream, CallFailure failure);

    /**
     * Called each time when nothing has arrived for the idle timeout, and when the engine does not
     * respond or does not begin the request.
     */
    void stalled(UpstreamAttempt attempt, Duration silence);

    /** Returns true if a stream without any event is the response to the request. */
    boolean acceptsEmptyStream();

    /** Returns true if the request can be placed without using the engine. */
    boolean canPlaceWithout(String engine);
}
