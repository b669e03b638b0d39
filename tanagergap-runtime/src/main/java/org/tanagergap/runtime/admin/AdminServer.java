package org.tanagergap.runtime.admin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.InboundLimits;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.metrics.MetricsText;
import org.tanagergap.runtime.settings.HostPort;

/** Serves {@code /healthz}, {@code /readyz}, {@code /metrics} and {@code /status} to operators. */
public final class AdminServer implements Service {

    private static final int HTTP_UNAVAILABLE = 503;

    private final Vertx mVertx;
    private final HostPort mAddress;
    private final MetricsText mMetrics;
    private final BooleanSupplier mReady;
    private final Supplier<JsonObject> mStatus;
    private final Optional<InboundProtection> mInbound;
    private HttpServer mServer;

    /**
     * Creates a server.
     *
     * @param ready supplies true while the program accepts requests
     * @param status supplies the status of the program as JSON
     */
    public AdminServer(
            Vertx vertx,
            HostPort address,
            MetricsText metrics,
            BooleanSupplier ready,
            Supplier<JsonObject> status) {
        this(vertx, address, metrics, ready, status, Optional.empty());
    }

    /**
     * Creates a server.
     *
     * @param ready supplies true while the program accepts requests
     * @param status supplies the status of the program as JSON
     * @param inbound protects the connections, if there is one in the process
     */
    public AdminServer(
            Vertx vertx,
            HostPort address,
            MetricsText metrics,
            BooleanSupplier ready,
            Supplier<JsonObject> status,
            Optional<InboundProtection> inbound) {
        mInbound = Objects.requireNonNull(inbound, "inbound must not be null");
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mMetrics = Objects.requireNonNull(metrics, "metrics must not be null");
        mReady = Objects.requireNonNull(ready, "ready must not be null");
        mStatus = Objects.requireNonNull(status, "status must not be null");
    }

    @Override
    public CompletableFuture<Void> start() {
        Router router = Router.router(mVertx);
        router.get("/healthz").handler(context -> context.end("ok\n"));
        router.get("/readyz").handler(this::readiness);
        router.get("/metrics").handler(this::metrics);
        router.get("/status").handler(context -> context.json(mStatus.get()));
        mServer = mVertx.createHttpServer(InboundLimits.internalOptions()).requestHandler(router);
        mInbound.ifPresent(inbound -> inbound.protect(mServer, InboundLimits.INTERNAL));
        return Futures.toCompletable(mServer.listen(mAddress.port(), mAddress.host()).mapEmpty());
    }

    @Override
    public CompletableFuture<Void> stop() {
        Future<Void> closed = mServer == null ? Future.succeededFuture() : mServer.close();
        return Futures.toCompletable(closed);
    }

    /** Port on which the server listens. */
    public int port() {
        return mServer.actualPort();
    }

    private void readiness(RoutingContext context) {
        if (mReady.getAsBoolean()) {
            context.end("ready\n");
        } else {
            context.response().setStatusCode(HTTP_UNAVAILABLE).end("not ready\n");
        }
    }

    private void metrics(RoutingContext context) {
        context.response()
                .putHeader("Content-Type", MetricsText.CONTENT_TYPE)
                .end(mMetrics.render());
    }
}
