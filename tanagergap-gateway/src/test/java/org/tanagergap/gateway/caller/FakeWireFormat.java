package org.tanagergap.gateway.caller;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.gateway.wire.AttemptHeaders;
import org.tanagergap.gateway.wire.GatewayCallerHeaders;
import org.tanagergap.gateway.wire.MemoryReservationRequest;
import org.tanagergap.gateway.wire.ReservationState;
import org.tanagergap.gateway.wire.UpstreamResponseHead;
import org.tanagergap.gateway.wire.WireFormat;

/** Wire format whose parsing of a caller's headers can fail; for tests without upstreams. */
final class FakeWireFormat implements WireFormat {

    private final Runnable mParsing;

    FakeWireFormat(Runnable parsing) {
        mParsing = parsing;
    }

    @Override
    public GatewayCallerHeaders parseCallerHeaders(MultiMap headers) {
        mParsing.run();
        return new GatewayCallerHeaders(
                Optional.of("r1"),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                OptionalLong.empty());
    }

    @Override
    public MultiMap upstreamHeaders(MultiMap callerHeaders, AttemptHeaders attempt) {
        throw new UnsupportedOperationException();
    }

    @Override
    public UpstreamResponseHead parseResponseHead(int status, MultiMap headers, String requestId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MemoryReservationRequest reservationRequest(
            String reservation, long tokens, Duration timeToLive) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MemoryReservationRequest releaseRequest(String reservation) {
        throw new UnsupportedOperationException();
    }

    @Override
    public String livenessPath() {
        throw new UnsupportedOperationException();
    }

    @Override
    public OptionalLong startedAtMillis(Buffer response) {
        throw new UnsupportedOperationException();
    }

    @Override
    public OptionalLong queuedRequests(Buffer response) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Optional<ReservationState> reservationState(Buffer response, String reservation) {
        throw new UnsupportedOperationException();
    }
}
