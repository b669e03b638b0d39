package org.tanagergap.console;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Optional;
import java.util.UUID;
import org.tanagergap.document.ConfigurationDiff;
import org.tanagergap.document.ConfigurationDocument;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.json.JsonNumbers;
import org.tanagergap.state.configuration.ConfigurationStore;
import org.tanagergap.state.configuration.StoredConfiguration;
import org.tanagergap.state.configuration.SubmitResult;

/** Routes that submit documents and report the outcome of earlier submissions. */
final class SubmitRoutes {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Vertx mVertx;
    private final ConfigurationStore mStore;

    SubmitRoutes(Vertx vertx, ConfigurationStore store) {
        mVertx = vertx;
        mStore = store;
    }

    void mount(Router router) {
        router.post("/api/submit").handler(this::submit);
        router.get("/api/outcome/:nonce").handler(this::outcome);
    }

    private void submit(RoutingContext context) {
        JsonObject document = DocumentRoutes.document(context, "document");
        JsonObject body = context.body().asJsonObject();
        long base =
                JsonNumbers.whole(body.getValue("base_version", 0), 0, Long.MAX_VALUE - 1)
                        .orElseThrow(
                                () ->
                                        new DecodeException(
                                                "base_version is not a whole number from 0"));
        // The browser chooses the nonce, so it can query the outcome if the response is lost.
        String nonce = body.getString("nonce", UUID.randomUUID().toString());
        Futures.toVertx(mStore.read())
                .compose(current -> submit(current, document, base, nonce))
                .onSuccess(result -> reply(context, result, document))
                .onFailure(context::fail);
    }

    private Future<SubmitResult> submit(
            Optional<StoredConfiguration> current, JsonObject document, long base, String nonce) {
        // Keys are restored from the base; those of another version could be wrong.
        if (ConsoleJson.version(current) != base && current.isPresent()) {
            return Future.succeededFuture(new SubmitResult.Conflict(current.get()));
        }
        return mVertx.executeBlocking(() -> validText(document, current))
                .compose(text -> submit(text, base, nonce));
    }

    private Future<SubmitResult> submit(String text, long base, String nonce) {
        // If the call fails, the write may still have taken effect: the result is "unresolved".
        return Futures.toVertx(mStore.submit(text, base, nonce))
                .otherwise(
                        failure ->
                                new SubmitResult.Unresolved(
                                        nonce,
                                        String.valueOf(Futures.rootFailure(failure).getMessage())));
    }

    private static String validText(JsonObject document, Optional<StoredConfiguration> current) {
        JsonObject restored = KeyRedaction.restore(document, DocumentRoutes.accepted(current));
        return ConfigurationDocument.write(ConfigurationDocument.parse(restored.encode(), 0));
    }

    private void outcome(RoutingContext context) {
        Futures.toVertx(mStore.outcome(context.pathParam("nonce")))
                .onSuccess(result -> reply(context, result, null))
                .onFailure(context::fail);
    }

    private static void reply(RoutingContext context, SubmitResult result, JsonObject document) {
        JsonObject json = new JsonObject();
        HttpResponseStatus status;
        if (result instanceof SubmitResult.Accepted accepted) {
            sLogger.atInfo().log("configuration version %d accepted", accepted.version());
            status = HttpResponseStatus.OK;
            json.put("result", "accepted").put("version", accepted.version());
        } else if (result instanceof SubmitResult.Conflict conflict) {
            status = HttpResponseStatus.CONFLICT;
            putConflict(json, conflict.current(), document);
        } else if (result instanceof SubmitResult.Unresolved unresolved) {
            status = HttpResponseStatus.GATEWAY_TIMEOUT;
            json.put("result", "unresolved")
                    .put("nonce", unresolved.nonce())
                    .put("message", unresolved.reason());
        } else {
            status = HttpResponseStatus.CONFLICT;
            json.put("result", "rejected")
                    .put("message", ((SubmitResult.Rejected) result).reason());
        }
        context.response().setStatusCode(status.code());
        context.json(json);
    }

    private static void putConflict(
            JsonObject json, StoredConfiguration current, JsonObject document) {
        JsonObject accepted = ConsoleJson.accepted(Optional.of(current));
        json.put("result", "conflict")
                .put("version", current.version())
                .put("document", KeyRedaction.redact(accepted));
        if (document != null) {
            JsonObject restored = KeyRedaction.restore(document, accepted);
            json.put(
                    "changes",
                    ConsoleJson.changes(
                            ConfigurationDiff.between(accepted.encode(), restored.encode())));
        }
    }
}
