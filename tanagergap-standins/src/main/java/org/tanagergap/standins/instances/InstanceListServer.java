package org.tanagergap.standins.instances;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.StringJoiner;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;

/** Serves the instance list as {@code EndpointSlice} objects; changes show after a lag. */
public final class InstanceListServer implements Service {

    private static final String PATH = "/apis/discovery.k8s.io/v1/endpointslices";
    private static final String GROUP_LABEL = "kubernetes.io/service-name";
    private static final int HTTP_BAD_REQUEST = 400;

    private final Vertx mVertx;
    private final HostPort mAddress;
    private final Duration mLag;
    private final RuntimeClock mClock;
    private final Map<String, Map<String, ListedInstance>> mVisibleInstances = new TreeMap<>();
    private final Map<String, Map<String, String>> mRawItems = new TreeMap<>();
    private HttpServer mServer;

    public InstanceListServer(Vertx vertx, HostPort address, Duration lag, RuntimeClock clock) {
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mLag = Objects.requireNonNull(lag, "lag must not be null");
        mClock = Objects.requireNonNull(clock, "clock must not be null");
    }

    @Override
    public CompletableFuture<Void> start() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false));
        router.get(PATH).handler(this::list);
        router.put("/instances/:group/:name").handler(this::put);
        router.put("/raw/:group/:name").handler(this::putRaw);
        router.delete("/instances/:group/:name").handler(this::delete);
        mServer = mVertx.createHttpServer().requestHandler(router);
        return Futures.toCompletable(mServer.listen(mAddress.port(), mAddress.host()).mapEmpty());
    }

    @Override
    public CompletableFuture<Void> stop() {
        Future<Void> closed = mServer == null ? Future.succeededFuture() : mServer.close();
        return Futures.toCompletable(closed);
    }

    /** Port that the server listens on. */
    public int port() {
        return mServer.actualPort();
    }

    private void put(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        String address = body == null ? null : body.getString("address");
        if (address == null || HostPort.parse(address).isEmpty()) {
            context.response().setStatusCode(HTTP_BAD_REQUEST).end("address must be host:port\n");
            return;
        }
        ListedInstance instance =
                new ListedInstance(
                        address,
                        body.getString("failureDomain", ""),
                        body.getBoolean("leaving", false));
        applyAfterLag(context, Optional.of(instance));
    }

    /** Lists the body as it is, like an item that another writer has left; visible at once. */
    private synchronized void putRaw(RoutingContext context) {
        mRawItems
                .computeIfAbsent(context.pathParam("group"), ignored -> new TreeMap<>())
                .put(context.pathParam("name"), context.body().asString());
        context.json(new JsonObject());
    }

    private void delete(RoutingContext context) {
        applyAfterLag(context, Optional.empty());
    }

    private void applyAfterLag(RoutingContext context, Optional<ListedInstance> instance) {
        String group = context.pathParam("group");
        String name = context.pathParam("name");
        if (mLag.isZero()) {
            apply(group, name, instance);
        } else {
            mClock.schedule(mLag, () -> apply(group, name, instance));
        }
        context.json(new JsonObject());
    }

    private synchronized void apply(String group, String name, Optional<ListedInstance> instance) {
        Map<String, ListedInstance> members =
                mVisibleInstances.computeIfAbsent(group, ignored -> new TreeMap<>());
        instance.ifPresentOrElse(i -> members.put(name, i), () -> members.remove(name));
    }

    private synchronized void list(RoutingContext context) {
        String selector = context.request().getParam("labelSelector", "");
        StringJoiner items = new StringJoiner(",", "[", "]");
        mRawItems.forEach(
                (group, members) -> {
                    if (isSelected(selector, group)) {
                        members.values().forEach(items::add);
                    }
                });
        mVisibleInstances.forEach(
                (group, members) -> {
                    if (isSelected(selector, group)) {
                        members.forEach((name, i) -> items.add(slice(group, name, i).encode()));
                    }
                });
        context.response()
                .putHeader("Content-Type", "application/json")
                .end(
                        "{\"kind\":\"EndpointSliceList\",\"apiVersion\":\"discovery.k8s.io/v1\","
                                + "\"items\":"
                                + items
                                + "}");
    }

    private static boolean isSelected(String selector, String group) {
        return selector.isEmpty() || selector.equals(GROUP_LABEL + "=" + group);
    }

    /** Creates a slice per instance, because all endpoints of a slice share one list of ports. */
    private static JsonObject slice(String group, String name, ListedInstance instance) {
        HostPort address = HostPort.parse(instance.address()).orElseThrow();
        JsonObject conditions =
                new JsonObject()
                        .put("ready", !instance.terminating())
                        .put("serving", true)
                        .put("terminating", instance.terminating());
        JsonObject endpoint =
                new JsonObject()
                        .put("addresses", new JsonArray().add(address.host()))
                        .put("conditions", conditions)
                        .put("zone", instance.failureDomain())
                        .put("targetRef", new JsonObject().put("kind", "Pod").put("name", name));
        return new JsonObject()
                .put("metadata", metadata(group, name))
                .put("addressType", "IPv4")
                .put("endpoints", new JsonArray().add(endpoint))
                .put("ports", new JsonArray().add(new JsonObject().put("port", address.port())));
    }

    private static JsonObject metadata(String group, String name) {
        return new JsonObject()
                .put("name", group + "-" + name)
                .put("labels", new JsonObject().put(GROUP_LABEL, group));
    }
}
