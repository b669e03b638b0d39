package org.tanagergap.platform.instances;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpResponseExpectation;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;

/** Reads instances from {@code EndpointSlice} objects ({@code discovery.k8s.io/v1}). */
public final class HttpInstanceList implements InstanceList {

    private static final String PATH = "/apis/discovery.k8s.io/v1/endpointslices";
    private static final String GROUP_LABEL = "kubernetes.io/service-name";

    private final WebClient mClient;
    private final HostPort mAddress;
    private final Duration mTimeout;

    public HttpInstanceList(Vertx vertx, HostPort address, Duration timeout) {
        mClient = WebClient.create(Objects.requireNonNull(vertx, "vertx must not be null"));
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mTimeout = Objects.requireNonNull(timeout, "timeout must not be null");
    }

    @Override
    public CompletableFuture<List<Instance>> read(String group) {
        Objects.requireNonNull(group, "group must not be null");
        return Futures.toCompletable(
                mClient.get(mAddress.port(), mAddress.host(), PATH)
                        .addQueryParam("labelSelector", GROUP_LABEL + "=" + group)
                        .timeout(mTimeout.toMillis())
                        .send()
                        .expecting(HttpResponseExpectation.SC_OK)
                        .map(response -> instances(response, group)));
    }

    private static List<Instance> instances(HttpResponse<Buffer> response, String group) {
        return objects(response.bodyAsJsonObject(), "items")
                .filter(slice -> group.equals(groupOf(slice)))
                .flatMap(HttpInstanceList::inSlice)
                .toList();
    }

    private static String groupOf(JsonObject slice) {
        return slice.getJsonObject("metadata", new JsonObject())
                .getJsonObject("labels", new JsonObject())
                .getString(GROUP_LABEL, "");
    }

    private static Stream<Instance> inSlice(JsonObject slice) {
        int port =
                objects(slice, "ports")
                        .findFirst()
                        .map(object -> object.getInteger("port", 0))
                        .orElse(0);
        return objects(slice, "endpoints").flatMap(endpoint -> atEndpoint(endpoint, port));
    }

    /** Returns the instance at an endpoint; empty if it is neither ready nor terminating. */
    private static Stream<Instance> atEndpoint(JsonObject endpoint, int port) {
        JsonObject conditions = endpoint.getJsonObject("conditions", new JsonObject());
        boolean terminating = conditions.getBoolean("terminating", false);
        JsonArray addresses = endpoint.getJsonArray("addresses", new JsonArray());
        boolean usable = conditions.getBoolean("ready", true) || terminating;
        if (!usable || addresses.isEmpty()) {
            return Stream.empty();
        }
        String address = new HostPort(addresses.getString(0), port).toString();
        String name =
                endpoint.getJsonObject("targetRef", new JsonObject()).getString("name", address);
        return Stream.of(new Instance(name, address, endpoint.getString("zone", ""), terminating));
    }

    private static Stream<JsonObject> objects(JsonObject object, String field) {
        return object.getJsonArray(field, new JsonArray()).stream().map(JsonObject.class::cast);
    }
}
