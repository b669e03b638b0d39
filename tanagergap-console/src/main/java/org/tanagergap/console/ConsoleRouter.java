package org.tanagergap.console;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.platform.keyvalue.KeyValueException;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.state.configuration.ConfigurationStore;

/** Creates the routes of the console with their common headers and failure handler. */
final class ConsoleRouter {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** A request has at most two documents, each of at most 1 MB before JSON escaping. */
    private static final long MAX_BODY_BYTES = 4L << 20;

    private ConsoleRouter() {}

    static Router create(Vertx vertx, ConsoleSettings settings, ConfigurationStore store) {
        Router router = Router.router(vertx);
        router.route().handler(ConsoleRouter::addHeaders);
        router.route("/api/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        new SessionRoutes(vertx, settings).mount(router);
        new DocumentRoutes(vertx, store).mount(router);
        new SubmitRoutes(vertx, store).mount(router);
        new StatusRoutes(vertx, settings.processes(), store).mount(router);
        new StaticFiles().mount(router);
        router.route().failureHandler(ConsoleRouter::fail);
        return router;
    }

    private static void addHeaders(RoutingContext context) {
        context.response()
                .putHeader(
                        "Content-Security-Policy",
                        "default-src 'self'; frame-ancestors 'none'; form-action 'self'")
                .putHeader("X-Content-Type-Options", "nosniff")
                .putHeader("Referrer-Policy", "no-referrer")
                .putHeader("Cache-Control", "no-store");
        context.next();
    }

    private static void fail(RoutingContext context) {
        Throwable failure =
                context.failure() == null ? null : Futures.rootFailure(context.failure());
        if (failure instanceof InvalidInputException invalid) {
            context.response().setStatusCode(HttpResponseStatus.UNPROCESSABLE_ENTITY.code());
            context.json(ConsoleJson.findings(invalid.findings()));
        } else if (failure instanceof DecodeException
                || failure instanceof ClassCastException
                || failure instanceof IllegalArgumentException) {
            reply(
                    context,
                    HttpResponseStatus.BAD_REQUEST.code(),
                    "the request has another form: " + failure.getMessage());
        } else if (failure instanceof KeyValueException) {
            reply(
                    context,
                    HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
                    "the key-value service is unavailable: " + failure.getMessage());
        } else if (failure == null && context.statusCode() > 0) {
            reply(
                    context,
                    context.statusCode(),
                    HttpResponseStatus.valueOf(context.statusCode()).reasonPhrase());
        } else {
            sLogger.atWarning().withCause(failure).log(
                    "console request failed; responding with status 500");
            reply(
                    context,
                    HttpResponseStatus.INTERNAL_SERVER_ERROR.code(),
                    "the console failed; its log has the cause");
        }
    }

    private static void reply(RoutingContext context, int status, String message) {
        context.response().setStatusCode(status);
        context.json(new JsonObject().put("result", "failed").put("message", message));
    }
}
