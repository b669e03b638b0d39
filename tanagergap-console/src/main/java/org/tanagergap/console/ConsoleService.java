package org.tanagergap.console;

import io.vertx.core.Future;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.runtime.admin.AdminServer;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.metrics.MetricsText;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.tls.TlsReloader;
import org.tanagergap.state.configuration.ConfigurationStore;

/** Serves the console to browsers, and its status and metrics on the admin address. */
final class ConsoleService implements Service {

    private final ProgramContext mContext;
    private final ConsoleSettings mSettings;
    private final ConfigurationStore mStore;
    private final AdminServer mAdmin;
    private final TlsReloader mTls;
    private HttpServer mServer;
    private volatile boolean mReady;

    ConsoleService(ProgramContext context, ConsoleSettings settings, ConfigurationStore store) {
        mContext = Objects.requireNonNull(context, "context must not be null");
        mSettings = Objects.requireNonNull(settings, "settings must not be null");
        mStore = Objects.requireNonNull(store, "store must not be null");
        mTls = new TlsReloader(context.vertx(), context.clock(), settings.tls());
        mAdmin =
                new AdminServer(
                        context.vertx(),
                        context.adminListen(),
                        new MetricsText(context.metrics()),
                        () -> mReady,
                        this::status);
    }

    @Override
    public CompletableFuture<Void> start() {
        mServer =
                mTls.server(
                        new HttpServerOptions(),
                        ConsoleRouter.create(mContext.vertx(), mSettings, mStore));
        return Futures.toCompletable(
                        mServer.listen(mSettings.listen().port(), mSettings.listen().host()))
                .thenCompose(ignored -> mAdmin.start())
                .thenCompose(ignored -> mTls.start())
                .thenRun(() -> mReady = true);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mReady = false;
        Future<Void> closed = mServer == null ? Future.succeededFuture() : mServer.close();
        return mTls.stop()
                .thenCompose(ignored -> Futures.toCompletable(closed))
                .thenCompose(ignored -> mAdmin.stop());
    }

    /** Returns the port on which browsers connect, once started. */
    int port() {
        return mServer.actualPort();
    }

    private JsonObject status() {
        return new JsonObject().put("name", mSettings.name()).put("program", "tanagergap-console");
    }
}
