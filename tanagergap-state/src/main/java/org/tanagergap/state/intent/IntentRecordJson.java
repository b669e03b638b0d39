package org.tanagergap.state.intent;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.request.AttemptId;

/** Converts records to and from JSON, without the service, which the key of the record contains. */
final class IntentRecordJson {

    private static final String INTENTS = "intents";
    private static final String OUTCOMES = "outcomes";
    private static final String ABANDONED = "abandoned";

    private IntentRecordJson() {}

    static String encode(IntentRecord record) {
        JsonObject json =
                new JsonObject()
                        .put("nonce", record.nonce())
                        .put("written_at_ms", record.writtenAtMillis());
        for (IntentEvent event : record.events()) {
            String list = listOf(event);
            if (!json.containsKey(list)) {
                json.put(list, new JsonArray());
            }
            json.getJsonArray(list).add(toJson(event));
        }
        return json.encode();
    }

    /** Decodes a record; throws an unchecked exception if the text is not a valid record. */
    static IntentRecord decode(String service, String text) {
        JsonObject json = new JsonObject(text);
        if (!(json.getValue("nonce") instanceof String nonce)) {
            throw new DecodeException("the record has no nonce");
        }
        List<IntentEvent> events = new ArrayList<>();
        for (JsonObject item : objects(json, INTENTS)) {
            events.add(
                    new IntentEvent.Intent(
                            key(service, item),
                            item.getString("body_hash"),
                            attempt(item),
                            item.getLong("time_left_ms")));
        }
        for (JsonObject item : objects(json, OUTCOMES)) {
            events.add(new IntentEvent.Outcome(key(service, item), attempt(item), response(item)));
        }
        for (JsonObject item : objects(json, ABANDONED)) {
            events.add(new IntentEvent.Abandonment(key(service, item), attempt(item)));
        }
        return new IntentRecord(nonce, json.getLong("written_at_ms"), events);
    }

    /** Returns true if the text is an object with a nonce, which every writer puts in a record. */
    static boolean hasNonce(String text) {
        try {
            return new JsonObject(text).getValue("nonce") instanceof String;
        } catch (DecodeException e) {
            return false;
        }
    }

    /** Returns the number of bytes that the event occupies in a record. */
    static int sizeBytes(IntentEvent event) {
        return toJson(event).encode().getBytes(StandardCharsets.UTF_8).length + 1;
    }

    private static String listOf(IntentEvent event) {
        if (event instanceof IntentEvent.Intent) {
            return INTENTS;
        }
        return event instanceof IntentEvent.Outcome ? OUTCOMES : ABANDONED;
    }

    private static JsonObject toJson(IntentEvent event) {
        JsonObject json =
                new JsonObject()
                        .put("workspace", event.key().workspace())
                        .put("key", event.key().idempotencyKey())
                        .put("attempt", event.attempt().value());
        if (event instanceof IntentEvent.Intent intent) {
            json.put("body_hash", intent.bodyHash())
                    .put("time_left_ms", intent.timeToDeadlineMillis());
        } else if (event instanceof IntentEvent.Outcome outcome) {
            json.put("status", outcome.response().status())
                    .put("content_type", outcome.response().contentType());
            outcome.response().body().ifPresent(body -> json.put("body", body));
        }
        return json;
    }

    private static IntentKey key(String service, JsonObject json) {
        return new IntentKey(service, json.getString("workspace"), json.getString("key"));
    }

    private static AttemptId attempt(JsonObject json) {
        return new AttemptId(json.getString("attempt"));
    }

    private static RecordedResponse response(JsonObject json) {
        return new RecordedResponse(
                json.getInteger("status"),
                json.getString("content_type"),
                Optional.ofNullable(json.getString("body")));
    }

    private static List<JsonObject> objects(JsonObject json, String field) {
        return json.getJsonArray(field, new JsonArray()).stream()
                .map(JsonObject.class::cast)
                .toList();
    }
}
