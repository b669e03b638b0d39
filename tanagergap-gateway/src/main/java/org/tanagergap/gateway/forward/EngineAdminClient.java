package org.tanagergap.gateway.forward;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeoutException;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.wire.MemoryReservationRequest;
import org.tanagergap.gateway.wire.WireFormat;
import org.tanagergap.runtime.http.BufferedCall;
import org.tanagergap.runtime.settings.HostPort;

/** Sends administrative requests to engines; they are short and answered at once. */
public final class EngineAdminClient {

    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int MAX_RESPONSE_BYTES = 256 << 10;

    private final HttpClient mClient;
    private final WireFormat mWire;

    public EngineAdminClient(HttpClient client, WireFormat wire) {
        mClient = client;
        mWire = wire;
    }

    /** Asks an engine for its status, which a running engine reports regardless of its load. */
    Future<BufferedCall.Response> status(HostPort engine) {
        return send(engine, HttpMethod.GET, mWire.livenessPath(), Optional.empty());
    }

    /** Returns true if the engine that reported its status has started after it was registered. */
    boolean hasRestarted(Upstream engine, BufferedCall.Response status) {
        OptionalLong startedAt = mWire.startedAtMillis(status.body());
        return engine.hasStartTime()
                && startedAt.isPresent()
                && startedAt.getAsLong() != engine.startedAtMillis();
    }

    /** Returns true if nothing listens at the address of the engine. */
    static boolean isRefused(Throwable failure) {
        return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
    }

    /** Returns true if the engine has neither responded nor closed the connection. */
    static boolean isSilent(Throwable failure) {
        return failure instanceof TimeoutException || failure instanceof ConnectTimeoutException;
    }

    /** Sends a request for a memory reservation and returns the status of the response. */
    Future<Integer> reservation(HostPort engine, MemoryReservationRequest request) {
        return send(engine, HttpMethod.POST, request.path(), Optional.of(request.body()))
                .map(BufferedCall.Response::status);
    }

    private Future<BufferedCall.Response> send(
            HostPort engine, HttpMethod method, String path, Optional<Buffer> body) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(method)
                        .setHost(engine.host())
                        .setPort(engine.port())
                        .setURI(path)
                        .setConnectTimeout(TIMEOUT.toMillis());
        if (body.isPresent()) {
            options.putHeader("Content-Type", "application/json");
        }
        return mClient.request(options)
                .compose(r -> BufferedCall.send(r, body, TIMEOUT, MAX_RESPONSE_BYTES));
    }
}
