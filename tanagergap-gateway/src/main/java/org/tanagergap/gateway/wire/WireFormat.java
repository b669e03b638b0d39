package org.tanagergap.gateway.wire;

import io.vertx.core.MultiMap;
import java.time.Duration;

/** Header names and bodies of a platform, as callers and upstreams use them. */
public interface WireFormat {

    /** Reads what concerns the system from a caller's headers. */
    GatewayCallerHeaders parseCallerHeaders(MultiMap headers);

    /** Headers for an upstream: those of the caller with the system's own added or replaced. */
    MultiMap upstreamHeaders(MultiMap callerHeaders, AttemptHeaders attempt);

    /** Reads the head of an upstream's answer to the request with the identifier. */
    UpstreamResponseHead parseResponseHead(int status, MultiMap headers, String requestId);

    /** Order that reserves engine memory, or extends the reservation with the same identifier. */
    MemoryReservationRequest reservationRequest(
            String reservation, long tokens, Duration timeToLive);

    /** Order that releases reserved engine memory. */
    MemoryReservationRequest releaseRequest(String reservation);

    /** Path that an engine answers at once while it is alive, whatever it is doing. */
    String livenessPath();
}
