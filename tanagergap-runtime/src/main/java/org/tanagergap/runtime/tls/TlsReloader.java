package org.tanagergap.runtime.tls;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.time.PeriodicTask;

/**
 * Creates servers and client options with the current keys and updates the servers when the key
 * files change. New keys apply to new connections; open connections keep theirs. Without settings,
 * all connections are unencrypted and nothing is reloaded.
 */
public final class TlsReloader implements Service {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** Reading three small files every 10 s costs little, and key rotations happen hours apart. */
    static final Duration CHECK_INTERVAL = Duration.ofSeconds(10);

    private final Vertx mVertx;
    private final Optional<TlsSettings> mSettings;
    private final PeriodicTask mCheckTask;
    private final List<Supplier<Future<?>>> mUpdates = new CopyOnWriteArrayList<>();
    private volatile Optional<TlsMaterial> mMaterial;
    private volatile String mLoggedFailure = "";

    /** Loads the keys; throws {@code InvalidInputException} if they are not valid. */
    public TlsReloader(Vertx vertx, RuntimeClock clock, Optional<TlsSettings> settings) {
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mSettings = Objects.requireNonNull(settings, "settings must not be null");
        mMaterial = settings.map(TlsMaterial::load);
        mCheckTask = new PeriodicTask(clock, CHECK_INTERVAL, this::check);
    }

    @Override
    public CompletableFuture<Void> start() {
        return mSettings.isPresent() ? mCheckTask.start() : CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mCheckTask.stop();
    }

    /** Creates a server that does not request client certificates. */
    public HttpServer server(HttpServerOptions options, Handler<HttpServerRequest> handler) {
        return create(options, false).requestHandler(handler);
    }

    /**
     * Creates a server that, with TLS, accepts only clients whose certificate has their address.
     */
    public HttpServer mutualServer(HttpServerOptions options, Handler<HttpServerRequest> handler) {
        HttpServer server = create(options, true);
        if (mMaterial.isEmpty()) {
            return server.requestHandler(handler);
        }
        return server.requestHandler(
                request -> {
                    if (PeerIdentity.check(request)) {
                        handler.handle(request);
                    } else {
                        request.connection().close();
                    }
                });
    }

    /**
     * Adds the current keys; clients verify that a server's certificate has the server's address.
     * Without keys, clients speak HTTP/2 from the start, as servers ignore requests to upgrade.
     */
    public HttpClientOptions mutualClient(HttpClientOptions options) {
        HttpClientOptions result = new HttpClientOptions(options).setHttp2ClearTextUpgrade(false);
        mMaterial.ifPresent(
                material ->
                        result.setSsl(true)
                                .setUseAlpn(true)
                                .setVerifyHost(true)
                                .setKeyCertOptions(material.keyOptions())
                                .setTrustOptions(material.trustOptions()));
        return result;
    }

    /** Adds an action that is run after the keys have changed. */
    public void onChange(Runnable update) {
        mUpdates.add(
                () -> {
                    update.run();
                    return Future.succeededFuture();
                });
    }

    /** Reads the files and applies changes; completes with true if there were any. */
    Future<Boolean> check() {
        return mVertx.executeBlocking(() -> TlsMaterial.load(mSettings.orElseThrow()))
                .compose(this::apply)
                .recover(this::logFailure);
    }

    private HttpServer create(HttpServerOptions options, boolean mutual) {
        HttpServerOptions copy = new HttpServerOptions(options);
        if (mMaterial.isEmpty()) {
            return mVertx.createHttpServer(copy);
        }
        var tls = mMaterial.get().serverOptions(mutual);
        copy.setSsl(true).setUseAlpn(true).setKeyCertOptions(tls.getKeyCertOptions());
        copy.setTrustOptions(tls.getTrustOptions()).setClientAuth(tls.getClientAuth());
        HttpServer server = mVertx.createHttpServer(copy);
        mUpdates.add(() -> server.updateSSLOptions(mMaterial.orElseThrow().serverOptions(mutual)));
        return server;
    }

    private Future<Boolean> apply(TlsMaterial material) {
        mLoggedFailure = "";
        if (mMaterial.filter(material::equals).isPresent()) {
            return Future.succeededFuture(false);
        }
        mMaterial = Optional.of(material);
        List<Future<?>> updates = new ArrayList<>();
        mUpdates.forEach(update -> updates.add(update.get()));
        return Future.join(updates)
                .onSuccess(ignored -> sLogger.atInfo().log("TLS keys reloaded"))
                .map(true);
    }

    private Future<Boolean> logFailure(Throwable failure) {
        String message = String.valueOf(Futures.rootFailure(failure).getMessage());
        // Files stay invalid until an operator acts, so only a new reason is logged.
        if (!message.equals(mLoggedFailure)) {
            mLoggedFailure = message;
            sLogger.atWarning().log(
                    "TLS keys could not be reloaded; the previous keys stay in use: %s", message);
        }
        return Future.succeededFuture(false);
    }
}
