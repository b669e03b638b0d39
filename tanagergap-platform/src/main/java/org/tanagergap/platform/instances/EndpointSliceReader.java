package org.tanagergap.platform.instances;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.tanagergap.runtime.json.JsonItems;
import org.tanagergap.runtime.json.JsonNumbers;
import org.tanagergap.runtime.log.MalformedItemLog;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Reads lists of {@code EndpointSlice} objects; skips malformed items and keeps their neighbours.
 */
final class EndpointSliceReader {

    static final String GROUP_LABEL = "kubernetes.io/service-name";

    private static final int MAX_PORT = 65_535;
    private static final Pattern HOST = Pattern.compile("[A-Za-z0-9._:%-]{1,253}");

    private final MalformedItemLog mMalformed = new MalformedItemLog("instance list");

    /**
     * Reads the instances of the group.
     *
     * @throws DecodeException if the body is not a JSON object with a list of items
     */
    List<Instance> read(Buffer body, String group) {
        List<Buffer> items = JsonItems.split(body, "items");
        return Stream.iterate(0, i -> i < items.size(), i -> i + 1)
                .flatMap(i -> instances(items.get(i), group, "item " + i))
                .toList();
    }

    private Stream<Instance> instances(Buffer item, String group, String place) {
        try {
            JsonObject slice = new JsonObject(item);
            JsonObject metadata = slice.getJsonObject("metadata", new JsonObject());
            JsonObject labels = metadata.getJsonObject("labels", new JsonObject());
            if (!group.equals(labels.getString(GROUP_LABEL, ""))) {
                return Stream.empty();
            }
            String name = "slice " + metadata.getString("name", "of " + place);
            // A slice without endpoints has the value null.
            JsonArray endpoints =
                    slice.getValue("endpoints") == null
                            ? new JsonArray()
                            : slice.getJsonArray("endpoints");
            return Stream.iterate(0, i -> i < endpoints.size(), i -> i + 1)
                    .flatMap(i -> instance(slice, endpoints, i, name).stream());
        } catch (DecodeException | ClassCastException | NullPointerException e) {
            mMalformed.skipped("group " + group + ", " + place, e.toString());
            return Stream.empty();
        }
    }

    private Optional<Instance> instance(JsonObject slice, JsonArray endpoints, int i, String name) {
        try {
            return instance(slice, endpoints.getJsonObject(i));
        } catch (DecodeException | ClassCastException | NullPointerException e) {
            mMalformed.skipped(name + ", endpoint " + i, e.toString());
            return Optional.empty();
        }
    }

    /** Returns the instance at an endpoint; empty if it is neither ready nor terminating. */
    private static Optional<Instance> instance(JsonObject slice, JsonObject endpoint) {
        JsonObject conditions = endpoint.getJsonObject("conditions", new JsonObject());
        boolean terminating = conditions.getBoolean("terminating", false);
        JsonArray addresses = endpoint.getJsonArray("addresses", new JsonArray());
        boolean usable = conditions.getBoolean("ready", true) || terminating;
        if (!usable || addresses.isEmpty()) {
            return Optional.empty();
        }
        String host = text(addresses.getValue(0), "address");
        OptionalLong port = port(slice);
        // A terminating instance gets no connections, but must not be taken for one that stays.
        if (!terminating) {
            if (!HOST.matcher(host).matches()) {
                throw new DecodeException("address \"" + host + "\" is not a host");
            }
            if (port.isEmpty()) {
                throw new DecodeException("port is not a number from 1 to " + MAX_PORT);
            }
        }
        String address = new HostPort(host, (int) port.orElse(0)).toString();
        String name =
                text(
                        endpoint.getJsonObject("targetRef", new JsonObject())
                                .getValue("name", address),
                        "name");
        return Optional.of(
                new Instance(
                        name, address, text(endpoint.getValue("zone", ""), "zone"), terminating));
    }

    private static String text(Object value, String field) {
        if (value instanceof String text) {
            return text;
        }
        throw new DecodeException(field + " is not a text");
    }

    /** Returns the first port, 0 if the slice has no ports; empty if it is malformed. */
    private static OptionalLong port(JsonObject slice) {
        Object value = slice.getValue("ports");
        if (value == null || value.equals(new JsonArray())) {
            return OptionalLong.of(0);
        }
        return value instanceof JsonArray ports && ports.getValue(0) instanceof JsonObject port
                ? JsonNumbers.whole(port.getValue("port"), 1, MAX_PORT)
                : OptionalLong.empty();
    }
}
