package org.tanagergap.gateway.caller;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.InboundLimits;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.settings.HostPort;

/** Reports to the load balancer whether this instance accepts new connections. */
public final class ReadinessServer implements Service {

    private static final int HTTP_OK = 200;
    private static final int HTTP_UNAVAILABLE = 503;

    private final Vertx mVertx;
    private final HostPort mAddress;
    private final BooleanSupplier mReady;
    private final InboundProtection mInbound;
    private HttpServer mServer;

    public ReadinessServer(
            Vertx vertx, HostPort address, BooleanSupplier ready, InboundProtection inbound) {
        mVertx = vertx;
        mAddress = address;
        mReady = ready;
        mInbound = inbound;
    }

    @Override
    public CompletableFuture<Void> start() {
        mServer =
                mInbound.protect(
                                mVertx.createHttpServer(InboundLimits.internalOptions()),
                                InboundLimits.INTERNAL)
                        .requestHandler(
                                request ->
                                        request.response()
                                                .setStatusCode(
                                                        mReady.getAsBoolean()
                                                                ? HTTP_OK
                                                                : HTTP_UNAVAILABLE)
                                                .end());
        return Futures.toCompletable(mServer.listen(mAddress.port(), mAddress.host()).mapEmpty());
    }

    @Override
    public CompletableFuture<Void> stop() {
        Future<Void> closed = mServer == null ? Future.succeededFuture() : mServer.close();
        return Futures.toCompletable(closed);
    }
}
