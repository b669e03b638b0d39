package org.tanagergap.gateway.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import java.util.Optional;

/** Datagram that instances send to each other, encoded as JSON. */
sealed interface PeerDatagram permits PeerReport, PermitMessage {

    /** Identifier of the sender. */
    String id();

    Buffer encode();

    /** Decodes a datagram; empty if it is not valid. */
    static Optional<PeerDatagram> decode(Buffer datagram) {
        try {
            JsonObject json = new JsonObject(datagram);
            return Optional.of(
                    PermitMessage.matches(json)
                            ? PermitMessage.decode(json)
                            : PeerReport.decode(json));
        } catch (RuntimeException e) {
            return Optional.empty();
        }
    }
}
