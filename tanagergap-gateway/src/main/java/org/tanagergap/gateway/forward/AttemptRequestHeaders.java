package org.tanagergap.gateway.forward;

import io.opentelemetry.api.trace.Span;
import io.vertx.core.MultiMap;
import java.time.Duration;
import java.util.List;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.gateway.wire.AttemptHeaders;
import org.tanagergap.gateway.wire.HelperAddress;

/** Headers with which an attempt is sent to its upstream. */
final class AttemptRequestHeaders {

    static final String TRACE_HEADER = "traceparent";

    /** Subtracted from the time to the deadline, so that a response sent in time still arrives. */
    private static final Duration RESPONSE_TRANSIT_TIME = Duration.ofMillis(10);

    private AttemptRequestHeaders() {}

    static MultiMap create(
            ForwardingContext context,
            RequestLifecycle lifecycle,
            Placement placement,
            List<HelperAddress> helpers,
            Span span) {
        GatewayRequest request = lifecycle.request();
        AttemptHeaders attempt =
                new AttemptHeaders(
                        timeToDeadline(context, request),
                        placement.upstream(),
                        request.workspace(),
                        request.rank(),
                        lifecycle.lastEventId(),
                        helpers);
        MultiMap headers = context.wire().upstreamHeaders(request.headers(), attempt);
        if (span.isRecording()) {
            headers.set(TRACE_HEADER, context.tracing().traceparent(span));
        }
        return headers;
    }

    private static Duration timeToDeadline(ForwardingContext context, GatewayRequest request) {
        long nanos = request.deadlineNanos() - context.clock().nanoTime();
        Duration remaining = Duration.ofNanos(nanos).minus(RESPONSE_TRANSIT_TIME);
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }
}
