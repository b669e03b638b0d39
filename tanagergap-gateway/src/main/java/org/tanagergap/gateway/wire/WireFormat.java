package org.tanagergap.gateway.wire;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/** Headers and message bodies of a platform, as callers and upstreams use them. */
public interface WireFormat {

    /** Parses the headers of a caller that concern the gateway. */
    GatewayCallerHeaders parseCallerHeaders(MultiMap headers);

    /** Headers for an upstream: those of the caller, with the gateway's own added or replaced. */
    MultiMap upstreamHeaders(MultiMap callerHeaders, AttemptHeaders attempt);

    /** Interprets the head of an upstream's response to the request with the identifier. */
    UpstreamResponseHead parseResponseHead(int status, MultiMap headers, String requestId);

    /** Request that reserves engine memory, or extends the reservation with the same identifier. */
    MemoryReservationRequest reservationRequest(
            String reservation, long tokens, Duration timeToLive);

    /** Request that releases reserved engine memory. */
    MemoryReservationRequest releaseRequest(String reservation);

    /** Path on which a running engine responds at once, regardless of its load. */
    String livenessPath();

    /**
     * Reads when the engine started, in Unix milliseconds, from the response on {@link
     * #livenessPath()}; empty if it does not say so or the response is malformed.
     */
    OptionalLong startedAtMillis(Buffer response);

    /**
     * Reads the state of a reservation from the response on {@link #livenessPath()}; empty if the
     * engine does not have the reservation or the response is malformed.
     */
    Optional<ReservationState> reservationState(Buffer response, String reservation);

    /**
     * Reads the number of requests in the queue of the engine from the response on {@link
     * #livenessPath()}; empty if it does not say so or the response is malformed.
     */
    OptionalLong queuedRequests(Buffer response);
}
