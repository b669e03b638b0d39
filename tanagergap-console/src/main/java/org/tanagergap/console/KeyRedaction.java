package org.tanagergap.console;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Removes salts and hashes of keys from documents for browsers, and restores them. */
final class KeyRedaction {

    private KeyRedaction() {}

    /** Returns a copy of a document without the salts and hashes of its keys. */
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
     * Returns a copy of a document in which each key without salt and hash gets those of the
     * accepted key with the same id. Other keys stay incomplete, and validation reports them.
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

    /** Returns the key objects of a document, which need not be valid. */
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
