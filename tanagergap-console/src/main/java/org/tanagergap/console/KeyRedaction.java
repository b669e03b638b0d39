package org.tanagergap.console;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Keeps salts and hashes of accepted keys out of browsers. */
final class KeyRedaction {

    private KeyRedaction() {}

    /** Copy of a document whose keys have only their ids. */
    static JsonObject redact(JsonObject document) {
        JsonObject copy = document.copy();
        keys(copy)
                .forEach(
                        key -> {
                            key.remove("salt");
                            key.remove("hash");
                        });
        return copy;
    }

    /**
     * Copy of a document in which each key without salt and hash has those of the accepted key with
     * the same id. A key that is not accepted stays as it is, and validation reports it.
     */
    static JsonObject restore(JsonObject document, JsonObject accepted) {
        Map<String, JsonObject> acceptedKeys = new HashMap<>();
        keys(accepted).forEach(key -> acceptedKeys.put(key.getString("id"), key));
        JsonObject copy = document.copy();
        keys(copy)
                .filter(key -> !key.containsKey("salt") && !key.containsKey("hash"))
                .forEach(
                        key -> {
                            if (key.getValue("id") instanceof String id
                                    && acceptedKeys.containsKey(id)) {
                                key.put("salt", acceptedKeys.get(id).getString("salt"));
                                key.put("hash", acceptedKeys.get(id).getString("hash"));
                            }
                        });
        return copy;
    }

    /** Key objects of a document that need not be valid. */
    private static Stream<JsonObject> keys(JsonObject document) {
        return objects(document, "workspaces")
                .flatMap(workspace -> objects(workspace, "keys"))
                .toList()
                .stream();
    }

    private static Stream<JsonObject> objects(JsonObject parent, String field) {
        List<Object> values =
                parent.getValue(field) instanceof JsonArray array
                        ? array.stream().toList()
                        : List.of();
        return values.stream().filter(JsonObject.class::isInstance).map(JsonObject.class::cast);
    }
}
