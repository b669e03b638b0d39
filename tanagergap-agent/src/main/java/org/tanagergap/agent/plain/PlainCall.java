package org.tanagergap.agent.plain;

import com.google.protobuf.ByteString;
import java.util.List;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.protocol.v1.Header;

/**
 * Call to a plain service.
 *
 * @param attemptId identifier of the attempt, sent as a header
 * @param method HTTP method
 * @param path path and query
 * @param headers headers of the caller
 * @param body body of the caller
 * @param idempotencyKey idempotency key set by the caller; empty if there is none
 * @param traceparent W3C trace context
 */
public record PlainCall(
        AttemptId attemptId,
        String method,
        String path,
        List<Header> headers,
        ByteString body,
        String idempotencyKey,
        String traceparent) {

    public PlainCall {
        headers = List.copyOf(headers);
    }
}
