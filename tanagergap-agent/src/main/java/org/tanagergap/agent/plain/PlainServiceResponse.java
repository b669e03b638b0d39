package org.tanagergap.agent.plain;

import com.google.protobuf.ByteString;
import java.util.List;
import org.tanagergap.protocol.v1.Header;

/**
 * Answer of a plain service.
 *
 * @param status HTTP status
 * @param headers headers without those of the connection
 * @param body complete body
 * @param replayed whether the answer comes from the record of an earlier call
 */
public record PlainServiceResponse(
        int status, List<Header> headers, ByteString body, boolean replayed) {

    public PlainServiceResponse {
        headers = List.copyOf(headers);
    }
}
