package org.tanagergap.console;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.vertx.core.Vertx;
import io.vertx.core.http.CookieSameSite;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.SessionHandler;
import io.vertx.ext.web.sstore.LocalSessionStore;
import java.time.Duration;
import java.util.Optional;

/** Routes that open and close sessions, and the check that all other API calls have one. */
final class SessionRoutes {

    static final String COOKIE = "tanagergap_session";

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();
    private static final String OPERATOR = "operator";
    private static final Duration SESSION_TIMEOUT = Duration.ofHours(1);

    private final Vertx mVertx;
    private final ConsoleSettings mSettings;

    SessionRoutes(Vertx vertx, ConsoleSettings settings) {
        mVertx = vertx;
        mSettings = settings;
    }

    void mount(Router router) {
        router.route("/api/*")
                .handler(
                        SessionHandler.create(LocalSessionStore.create(mVertx))
                                .setSessionCookieName(COOKIE)
                                .setSessionTimeout(SESSION_TIMEOUT.toMillis())
                                .setCookieHttpOnlyFlag(true)
                                .setCookieSecureFlag(mSettings.secureCookie())
                                .setCookieSameSite(CookieSameSite.STRICT)
                                .setNagHttps(false)
                                .setLazySession(true));
        router.post("/api/session").handler(this::open);
        router.route("/api/*").handler(this::requireSession);
        router.get("/api/session").handler(this::show);
        router.delete("/api/session").handler(this::close);
    }

    private void open(RoutingContext context) {
        JsonObject body = context.body().asJsonObject();
        String key = body == null ? "" : body.getString("key", "");
        Optional<String> operator = mSettings.operatorKeys().operator(key);
        if (operator.isEmpty()) {
            sLogger.atWarning().log("session refused: unknown operator key");
            respondUnauthorized(context, "the operator key is not known");
            return;
        }
        // A new id prevents session fixation: an id issued before sign-in must not become valid.
        context.session().regenerateId().put(OPERATOR, operator.get());
        sLogger.atInfo().log("session opened by operator %s", operator.get());
        show(context);
    }

    private void requireSession(RoutingContext context) {
        if (context.session().get(OPERATOR) == null) {
            // Otherwise, calls without a key would fill the memory with sessions.
            context.session().destroy();
            respondUnauthorized(context, "sign in with an operator key");
        } else {
            context.next();
        }
    }

    private void show(RoutingContext context) {
        String operator = context.session().get(OPERATOR);
        context.json(new JsonObject().put(OPERATOR, operator));
    }

    private void close(RoutingContext context) {
        context.session().destroy();
        context.response().setStatusCode(HttpResponseStatus.NO_CONTENT.code()).end();
    }

    private static void respondUnauthorized(RoutingContext context, String message) {
        context.response().setStatusCode(HttpResponseStatus.UNAUTHORIZED.code());
        context.json(new JsonObject().put("result", "unauthorized").put("message", message));
    }
}
