package org.tanagergap.gateway.wire;

import io.vertx.core.buffer.Buffer;
import java.util.Objects;

/**
 * Administrative call to a model engine.
 *
 * @param path path of the call
 * @param body its body, in JSON
 */
public record MemoryReservationRequest(String path, Buffer body) {

    public MemoryReservationRequest {
        Objects.requireNonNull(path, "path must not be null");
        Objects.requireNonNull(body, "body must not be null");
    }
}
