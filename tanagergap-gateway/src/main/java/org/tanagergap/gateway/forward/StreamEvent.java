package org.tanagergap.gateway.forward;

import io.vertx.core.buffer.Buffer;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * One event of a stream.
 *
 * @param id its identifier, when it has one
 * @param bytes its bytes, with the blank line that ends it
 */
record StreamEvent(OptionalLong id, Buffer bytes) {

    StreamEvent {
        Objects.requireNonNull(bytes, "bytes must not be null");
    }
}
