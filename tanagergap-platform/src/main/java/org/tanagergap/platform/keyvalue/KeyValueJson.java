package org.tanagergap.platform.keyvalue;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.OptionalLong;
import org.tanagergap.runtime.json.JsonNumbers;
import org.tanagergap.runtime.log.MalformedItemLog;

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
        long revision = number(object(response, "header"), "revision");
        return new TransactionResult(flag(response, "succeeded"), revision);
    }

    static List<KeyValue> keyValues(JsonObject response) {
        return objects(response, "kvs").stream().map(KeyValueJson::keyValue).toList();
    }

    /** Parses the changes in a watch response, without the malformed ones, which are logged. */
    static List<KeyValue> changes(JsonObject result, MalformedItemLog malformed) {
        List<KeyValue> changes = new ArrayList<>();
        for (Object event : array(result, "events")) {
            try {
                changes.add(keyValue(object(object(event), "kv")));
            } catch (DecodeException | ClassCastException e) {
                malformed.skipped("event", e.toString());
            }
        }
        return changes;
    }

    static long number(JsonObject object, String field) {
        Object value = object.getValue(field);
        if (value == null) {
            return 0;
        }
        OptionalLong number = JsonNumbers.whole(value, Long.MIN_VALUE, Long.MAX_VALUE);
        if (number.isPresent()) {
            return number.getAsLong();
        }
        try {
            return Long.parseLong(value.toString());
        } catch (NumberFormatException e) {
            throw new DecodeException("field \"" + field + "\" is not a 64-bit number");
        }
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
                decode(kv, "key"),
                decode(kv, "value"),
                number(kv, "mod_revision"),
                number(kv, "create_revision"));
    }

    private static List<JsonObject> objects(JsonObject response, String field) {
        return array(response, field).stream().map(KeyValueJson::object).toList();
    }

    /** Returns a flag; null counts as omitted, as in all fields of the gateway. */
    static boolean flag(JsonObject object, String field) {
        return Boolean.TRUE.equals(object.getBoolean(field));
    }

    private static JsonArray array(JsonObject object, String field) {
        JsonArray array = object.getJsonArray(field);
        return array == null ? new JsonArray() : array;
    }

    private static JsonObject object(JsonObject parent, String field) {
        JsonObject object = parent.getJsonObject(field);
        return object == null ? new JsonObject() : object;
    }

    private static JsonObject object(Object value) {
        if (value instanceof JsonObject object) {
            return object;
        }
        throw new DecodeException("a list contains a value that is not an object");
    }

    /** Returns the exclusive upper bound of the keys with the prefix; keys are ASCII. */
    private static String endOfPrefix(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(JsonObject object, String field) {
        String base64 = object.getString(field);
        if (base64 == null) {
            return "";
        }
        try {
            return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new DecodeException("a key or value is not base64: " + e.getMessage());
        }
    }
}
