package org.tanagergap.console;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Optional;
import org.tanagergap.api.configuration.KeyDefinition;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.document.ConfigurationDiff;
import org.tanagergap.document.ConfigurationDocument;
import org.tanagergap.document.KeyHashing;
import org.tanagergap.document.NewKey;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.state.configuration.ConfigurationStore;
import org.tanagergap.state.configuration.StoredConfiguration;

/** Routes that read, validate and compare documents, and generate keys. */
final class DocumentRoutes {

    private final Vertx mVertx;
    private final ConfigurationStore mStore;

    DocumentRoutes(Vertx vertx, ConfigurationStore store) {
        mVertx = vertx;
        mStore = store;
    }

    void mount(Router router) {
        router.get("/api/configuration").respond(context -> configuration());
        router.post("/api/validate").respond(this::validate);
        router.post("/api/diff").respond(this::diff);
        router.post("/api/keys").respond(DocumentRoutes::generateKey);
    }

    private Future<JsonObject> configuration() {
        return Futures.toVertx(mStore.read())
                .map(
                        current ->
                                new JsonObject()
                                        .put("version", ConsoleJson.version(current))
                                        .put("malformed", isMalformed(current))
                                        .put("document", KeyRedaction.redact(accepted(current))));
    }

    private static boolean isMalformed(Optional<StoredConfiguration> current) {
        return current.filter(stored -> ConsoleJson.document(stored).isEmpty()).isPresent();
    }

    private Future<JsonObject> validate(RoutingContext context) {
        JsonObject document = document(context, "document");
        return Futures.toVertx(mStore.read())
                .compose(
                        current ->
                                mVertx.executeBlocking(
                                        () -> findings(document, accepted(current))));
    }

    /** Compares with the document in {@code from} or, if absent, with the accepted one. */
    private Future<JsonObject> diff(RoutingContext context) {
        JsonObject document = document(context, "document");
        JsonObject from = context.body().asJsonObject().getJsonObject("from");
        return Futures.toVertx(mStore.read())
                .compose(current -> mVertx.executeBlocking(() -> compare(document, from, current)));
    }

    private static JsonObject compare(
            JsonObject document, JsonObject from, Optional<StoredConfiguration> current) {
        JsonObject accepted = accepted(current);
        JsonObject before = from == null ? accepted : KeyRedaction.restore(from, accepted);
        JsonObject after = KeyRedaction.restore(document, accepted);
        return new JsonObject()
                .put("version", ConsoleJson.version(current))
                .put(
                        "changes",
                        ConsoleJson.changes(
                                ConfigurationDiff.between(before.encode(), after.encode())));
    }

    private static JsonObject findings(JsonObject document, JsonObject accepted) {
        try {
            ConfigurationDocument.parse(KeyRedaction.restore(document, accepted).encode(), 0);
            return ConsoleJson.findings(List.of());
        } catch (InvalidInputException e) {
            return ConsoleJson.findings(e.findings());
        }
    }

    private static Future<JsonObject> generateKey(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        NewKey key = KeyHashing.create(body == null ? "" : body.getString("id", ""));
        KeyDefinition definition = key.definition();
        return Future.succeededFuture(
                new JsonObject()
                        .put("key", key.text())
                        .put(
                                "entry",
                                new JsonObject()
                                        .put("id", definition.id())
                                        .put("salt", definition.salt())
                                        .put("hash", definition.hash())));
    }

    static JsonObject accepted(Optional<StoredConfiguration> current) {
        return ConsoleJson.accepted(current);
    }

    /**
     * Returns the object in a field of the body.
     *
     * @throws ClassCastException if the field is missing or not an object
     */
    static JsonObject document(RoutingContext context, String field) {
        JsonObject body = context.body().asJsonObject();
        if (body == null || !(body.getValue(field) instanceof JsonObject document)) {
            throw new ClassCastException("the body has no object \"" + field + "\"");
        }
        return document;
    }
}
