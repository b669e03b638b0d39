package org.tanagergap.gateway.wire;

import io.vertx.core.buffer.Buffer;
import java.util.Objects;

/**
 * Administrative request to a model engine that reserves or releases memory.
 *
 * @param path path of the request
 * @param body JSON body
 */
public record MemoryReservationRequest(String path, Buffer body) {

    public MemoryReservationRequest {
        Objects.requireNonNull(path, "path must not be null");
        Objects.requireNonNull(body, "body must not be null");
    }
}
