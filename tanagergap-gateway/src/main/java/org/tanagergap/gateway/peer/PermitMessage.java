package org.tanagergap.gateway.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.tanagergap.decisions.ratelimit.PermitGrant;

/**
 * Message between an instance that needs permits for limited upstreams and the one that issues
 * them, as one JSON datagram.
 *
 * @param id identifier of the sender
 * @param requested number of permits that the sender requests, by upstream
 * @param granted permits that the sender issues to the recipient, by upstream
 */
record PermitMessage(String id, Map<String, Integer> requested, Map<String, PermitGrant> granted)
        implements PeerDatagram {

    private static final String ID = "id";
    private static final String REQUESTED = "permits_requested";
    private static final String GRANTED = "permits_granted";

    PermitMessage {
        Objects.requireNonNull(id, "id must not be null");
        requested = Map.copyOf(requested);
        granted = Map.copyOf(granted);
    }

    @Override
    public Buffer encode() {
        JsonObject message = new JsonObject().put(ID, id);
        JsonObject requests = new JsonObject();
        requested.forEach(requests::put);
        JsonObject grants = new JsonObject();
        granted.forEach(
                (upstream, grant) ->
                        grants.put(
                                upstream,
                                new JsonArray()
                                        .add(grant.permits())
                                        .add(grant.requestsPerSecond())));
        return message.put(REQUESTED, requests).put(GRANTED, grants).toBuffer();
    }

    /** Returns true if the datagram is a message of this kind and not a report. */
    static boolean matches(JsonObject datagram) {
        return datagram.containsKey(REQUESTED);
    }

    /** Throws {@link ClassCastException} or another runtime exception for malformed fields. */
    static PermitMessage decode(JsonObject datagram) {
        Map<String, Integer> requested = new HashMap<>();
        for (Map.Entry<String, Object> entry : datagram.getJsonObject(REQUESTED)) {
            requested.put(entry.getKey(), PeerNumbers.count(entry.getValue()));
        }
        Map<String, PermitGrant> granted = new HashMap<>();
        for (Map.Entry<String, Object> entry : datagram.getJsonObject(GRANTED)) {
            JsonArray fields = (JsonArray) entry.getValue();
            granted.put(
                    entry.getKey(),
                    new PermitGrant(
                            PeerNumbers.count(fields.getValue(0)),
                            PeerNumbers.rate(fields.getValue(1))));
        }
        return new PermitMessage(datagram.getString(ID), requested, granted);
    }
}
