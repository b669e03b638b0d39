package org.tanagergap.standins.keyvalue;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Locale;

/** JSON of the etcd v3 gateway: keys and values in base64, 64-bit numbers as strings. */
final class GatewayJson {

    private GatewayJson() {}

    static KeyRange range(JsonObject call) {
        return new KeyRange(text(call, "key"), text(call, "range_end"));
    }

    static Operation.Put put(JsonObject call) {
        return new Operation.Put(text(call, "key"), text(call, "value"), number(call, "lease"));
    }

    static List<Comparison> comparisons(JsonObject call) {
        return objects(call, "compare").stream().map(GatewayJson::comparison).toList();
    }

    static List<Operation> operations(JsonObject call, String branch) {
        return objects(call, branch).stream().map(GatewayJson::operation).toList();
    }

    static long number(JsonObject object, String field) {
        Object value = object.getValue(field, 0L);
        try {
            return value instanceof Number n ? n.longValue() : Long.parseLong(value.toString());
        } catch (NumberFormatException e) {
            throw RefusedCallException.invalid(field + " is not a number: " + value);
        }
    }

    static JsonObject header(long revision) {
        return new JsonObject().put("header", new JsonObject().put("revision", "" + revision));
    }

    static JsonObject keyValue(String key, StoredValue value) {
        return new JsonObject()
                .put("key", encode(key))
                .put("create_revision", "" + value.createRevision())
                .put("mod_revision", "" + value.modRevision())
                .put("version", "" + value.version())
                .put("value", encode(value.value()))
                .put("lease", "" + value.leaseId());
    }

    /** Event of a watch; the gateway omits the type of a put. */
    static JsonObject event(KeyChange change) {
        return change.value()
                .map(v -> new JsonObject().put("kv", keyValue(change.key(), v)))
                .orElseGet(() -> deletion(change));
    }

    private static JsonObject deletion(KeyChange change) {
        JsonObject kv =
                new JsonObject()
                        .put("key", encode(change.key()))
                        .put("mod_revision", "" + change.revision());
        return new JsonObject().put("type", "DELETE").put("kv", kv);
    }

    private static Comparison comparison(JsonObject compare) {
        if (!"EQUAL".equals(compare.getString("result", "EQUAL"))) {
            throw RefusedCallException.invalid("only the result EQUAL is supported");
        }
        String name = compare.getString("target", "VERSION");
        try {
            Comparison.Target target = Comparison.Target.valueOf(name);
            String field =
                    target == Comparison.Target.VERSION
                            ? "version"
                            : name.toLowerCase(Locale.ROOT) + "_revision";
            return new Comparison(text(compare, "key"), target, number(compare, field));
        } catch (IllegalArgumentException e) {
            throw RefusedCallException.invalid("compare target " + name + " is not supported");
        }
    }

    private static Operation operation(JsonObject request) {
        JsonObject put = request.getJsonObject("request_put");
        if (put != null) {
            return put(put);
        }
        JsonObject delete = request.getJsonObject("request_delete_range");
        if (delete != null) {
            return new Operation.Delete(range(delete));
        }
        throw RefusedCallException.invalid("operation is not supported: " + request.fieldNames());
    }

    private static List<JsonObject> objects(JsonObject call, String field) {
        JsonArray array = call.getJsonArray(field, new JsonArray());
        return array.stream().map(JsonObject.class::cast).toList();
    }

    private static String text(JsonObject object, String field) {
        try {
            byte[] bytes = Base64.getDecoder().decode(object.getString(field, ""));
            return new String(bytes, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw RefusedCallException.invalid(field + " is not base64");
        }
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }
}
