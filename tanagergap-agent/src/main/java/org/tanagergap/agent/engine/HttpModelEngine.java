package org.tanagergap.agent.engine;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.BackPressureStrategy;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.BufferedCall;
import org.tanagergap.runtime.http.ClientConnections;

/** Client of a model engine that uses HTTP, JSON and server-sent events. */
public final class HttpModelEngine implements ModelEngine {

    private static final int OK = 200;
    private static final int REDIRECTION = 300;
    private static final int NOT_FOUND = 404;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

    /** Far above the list of the runs that an engine can have. */
    private static final int MAX_REPORT_BYTES = 16 << 20;

    /** Above the limit of the queue, so that no completion waits for a connection. */
    private static final int MAX_CONNECTIONS = 4_096;

    private final HttpClient mStreamingClient;
    private final HttpClient mControlClient;
    private final String mBaseUrl;

    /**
     * Creates a client.
     *
     * @param baseUrl URL without a final slash
     */
    public HttpModelEngine(Vertx vertx, String baseUrl) {
        mBaseUrl = Objects.requireNonNull(baseUrl, "baseUrl must not be null");
        // One connection for each request: a late or duplicate response has no identifier by which
        // it could be told from that of the next request on a kept connection.
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setKeepAlive(false);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS);
        mStreamingClient =
                vertx.httpClientBuilder()
                        .with(options)
                        .with(pool)
                        .withConnectHandler(ClientConnections::checkResponses)
                        .build();
        // Uses separate connections, so that cancellations never wait for completions.
        mControlClient =
                vertx.httpClientBuilder()
                        .with(new HttpClientOptions(options))
                        .withConnectHandler(ClientConnections::checkResponses)
                        .build();
    }

    @Override
    public Multi<EngineEvent> complete(EngineCompletion completion) {
        RequestOptions options =
                post("/v1/completions").putHeader("traceparent", completion.traceparent());
        Buffer body = EngineMessages.completion(completion).toBuffer();
        return stream(options, body, EngineMessages::event);
    }

    @Override
    public Uni<Void> cancel(AttemptId attempt) {
        return deferCall(
                () ->
                        control(HttpMethod.POST, "/v1/runs/" + encode(attempt.value()) + "/cancel")
                                .compose(HttpModelEngine::requireSuccessOrNotFound));
    }

    @Override
    public Uni<List<EngineRun>> runs() {
        return deferCall(() -> readJson("/v1/runs").map(EngineMessages::runs));
    }

    @Override
    public Uni<EngineLoad> load() {
        return deferCall(() -> readJson("/load").map(EngineMessages::load));
    }

    @Override
    public Multi<CacheEvent> cacheEvents() {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setAbsoluteURI(mBaseUrl + "/cache/events");
        return stream(options, Buffer.buffer(), EngineMessages::cacheEvent);
    }

    @Override
    public Uni<Segment> prefill(SegmentPrefill prefill) {
        Buffer body = EngineMessages.prefill(prefill).toBuffer();
        return Uni.createFrom()
                .emitter(
                        emitter -> {
                            EngineExchange exchange =
                                    new EngineExchange(mStreamingClient, post("/kv/prefill"), body);
                            emitter.onTermination(exchange::close);
                            exchange.readBody(
                                    responseBody ->
                                            emitter.complete(
                                                    EngineMessages.segment(
                                                            new JsonObject(responseBody))),
                                    emitter::fail);
                        });
    }

    @Override
    public Uni<Void> releaseSegment(String handle) {
        return deferCall(
                () ->
                        control(HttpMethod.DELETE, "/kv/" + encode(handle))
                                .compose(HttpModelEngine::requireSuccessOrNotFound));
    }

    private <T> Multi<T> stream(RequestOptions options, Buffer body, Function<String, T> parser) {
        return Multi.createFrom()
                .emitter(
                        emitter -> {
                            EngineExchange exchange =
                                    new EngineExchange(mStreamingClient, options, body);
                            emitter.onTermination(exchange::close);
                            emitter.onRequest(ignored -> exchange.resume());
                            exchange.readEvents(
                                    data -> {
                                        emitter.emit(parser.apply(data));
                                        exchange.pauseIf(() -> emitter.requested() == 0);
                                    },
                                    emitter::complete,
                                    emitter::fail);
                        },
                        // Buffers at most the rest of the chunk in which the connection was paused.
                        BackPressureStrategy.BUFFER);
    }

    /** Starts the call on subscription, so that an exception of the client fails the result. */
    private static <T> Uni<T> deferCall(Supplier<Future<T>> call) {
        return Uni.createFrom().deferred(() -> Futures.toUni(call.get()));
    }

    private Future<JsonObject> readJson(String path) {
        return control(HttpMethod.GET, path)
                .compose(
                        response ->
                                response.status() == OK
                                        ? Future.succeededFuture(new JsonObject(response.body()))
                                        : Future.failedFuture(unexpectedStatus(response)));
    }

    /** Sends a short call, whose whole response must arrive within the timeout. */
    private Future<BufferedCall.Response> control(HttpMethod method, String path) {
        RequestOptions options =
                new RequestOptions().setMethod(method).setAbsoluteURI(mBaseUrl + path);
        return mControlClient
                .request(options)
                .compose(
                        request ->
                                BufferedCall.send(
                                        request,
                                        Optional.empty(),
                                        CONTROL_TIMEOUT,
                                        MAX_REPORT_BYTES));
    }

    private RequestOptions post(String path) {
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(mBaseUrl + path)
                .putHeader("Content-Type", "application/json");
    }

    private static Future<Void> requireSuccessOrNotFound(BufferedCall.Response response) {
        boolean accepted = response.status() < REDIRECTION || response.status() == NOT_FOUND;
        return accepted
                ? Future.succeededFuture()
                : Future.failedFuture(unexpectedStatus(response));
    }

    private static RequestFailure unexpectedStatus(BufferedCall.Response response) {
        return RequestFailure.of(
                FailureCode.UPSTREAM_FAILED,
                Execution.UNKNOWN,
                "engine answered " + response.status());
    }

    private static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
