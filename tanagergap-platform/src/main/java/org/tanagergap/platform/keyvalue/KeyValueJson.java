package org.tanagergap.platform.keyvalue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;

/**
 * JSON messages of the etcd v3 gateway: keys and values are base64, 64-bit numbers are strings, and
 * empty fields are omitted from responses.
 */
final class KeyValueJson {

    private KeyValueJson() {}

    static JsonObject range(String from, String to, int limit) {
        return keys(from, to).put("limit", limit);
    }

    /** Creates a key range; an empty {@code to} selects the single key {@code from}. */
    static JsonObject keys(String from, String to) {
        JsonObject range = new JsonObject().put("key", encode(from));
        return to.isEmpty() ? range : range.put("range_end", encode(to));
    }

    static JsonObject transaction(Transaction transaction) {
        JsonArray compare = new JsonArray();
        transaction.conditions().forEach(condition -> compare.add(comparison(condition)));
        JsonArray success = new JsonArray();
        transaction.writes().forEach(write -> success.add(operation(write)));
        return new JsonObject().put("compare", compare).put("success", success);
    }

    static JsonObject watch(String prefix) {
        return new JsonObject().put("create_request", keys(prefix, endOfPrefix(prefix)));
    }

    static TransactionResult transactionResult(JsonObject response) {
        long revision = number(response.getJsonObject("header", new JsonObject()), "revision");
        return new TransactionResult(response.getBoolean("succeeded", false), revision);
    }

    static List<KeyValue> keyValues(JsonObject response) {
        return objects(response, "kvs").stream().map(KeyValueJson::keyValue).toList();
    }

    /** Parses the changes in a watch response. */
    static List<KeyValue> changes(JsonObject result) {
        return objects(result, "events").stream()
                .map(event -> keyValue(event.getJsonObject("kv", new JsonObject())))
                .toList();
    }

    static long number(JsonObject object, String field) {
        Object value = object.getValue(field, 0L);
        return value instanceof Number n ? n.longValue() : Long.parseLong(value.toString());
    }

    private static JsonObject comparison(Condition condition) {
        JsonObject compare =
                new JsonObject().put("key", encode(condition.key())).put("result", "EQUAL");
        if (condition instanceof Condition.AtRevision atRevision) {
            return compare.put("target", "MOD").put("mod_revision", "" + atRevision.modRevision());
        }
        return compare.put("target", "CREATE").put("create_revision", "0");
    }

    private static JsonObject operation(Write write) {
        if (write instanceof Write.DeleteRange delete) {
            return new JsonObject().put("request_delete_range", keys(delete.from(), delete.to()));
        }
        Write.Put put = (Write.Put) write;
        JsonObject request =
                new JsonObject().put("key", encode(put.key())).put("value", encode(put.value()));
        put.leaseId().ifPresent(lease -> request.put("lease", "" + lease));
        return new JsonObject().put("request_put", request);
    }

    private static KeyValue keyValue(JsonObject kv) {
        return new KeyValue(
                decode(kv.getString("key", "")),
                decode(kv.getString("value", "")),
                number(kv, "mod_revision"),
                number(kv, "create_revision"));
    }

    private static List<JsonObject> objects(JsonObject response, String field) {
        return response.getJsonArray(field, new JsonArray()).stream()
                .map(JsonObject.class::cast)
                .toList();
    }

    /** Returns the exclusive upper bound of the keys with the prefix; keys are ASCII. */
    private static String endOfPrefix(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(String base64) {
        return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
    }
}
