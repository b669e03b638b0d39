package org.tanagergap.agent.plain;

import com.google.protobuf.ByteString;
import java.util.List;
import org.tanagergap.protocol.v1.Header;

/**
 * Response of a plain service.
 *
 * @param status HTTP status
 * @param headers response headers except the hop-by-hop headers
 * @param body complete body
 * @param replayed true if the response is the recorded response of an earlier call
 */
public record PlainServiceResponse(
        int status, List<Header> headers, ByteString body, boolean replayed) {

    public PlainServiceResponse {
        headers = List.copyOf(headers);
    }
}
