package org.tanagergap.gateway.forward;

import io.vertx.core.buffer.Buffer;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * One event of a stream.
 *
 * @param id identifier of the event, if it has one
 * @param bytes bytes of the event, including the blank line that ends it
 */
record StreamEvent(OptionalLong id, Buffer bytes) {

    StreamEvent {
        Objects.requireNonNull(bytes, "bytes must not be null");
    }
}
