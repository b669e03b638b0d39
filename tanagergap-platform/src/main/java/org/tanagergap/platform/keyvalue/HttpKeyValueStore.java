package org.tanagergap.platform.keyvalue;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.MultiEmitter;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.core.parsetools.RecordParser;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Function;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.ResponseCheck;
import org.tanagergap.runtime.log.MalformedItemLog;
import org.tanagergap.runtime.metrics.MetricName;
import org.tanagergap.runtime.settings.HostPort;

/** Key-value store accessed through the JSON gateway of the etcd v3 API. */
public final class HttpKeyValueStore implements KeyValueStore {

    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_WATCHES = 64;

    /** Ten values of the largest size, 1 MB, in base64. */
    private static final int MAX_WATCH_LINE_BYTES = 14 << 20;

    private static final int HTTP_OK = 200;
    private static final int HTTP_CLIENT_ERROR = 400;
    private static final int HTTP_SERVER_ERROR = 500;
    private static final int HTTP_REQUEST_TIMEOUT = 408;

    private final HostPort mAddress;
    private final Duration mTimeout;
    private final HttpClient mClient;
    private final HttpClient mWatchClient;
    private final Counter mReads;
    private final Counter mWrites;
    private final Counter mWatches;
    private final Counter mFailures;
    private final MalformedItemLog mMalformedEvents =
            new MalformedItemLog("watch of the key-value service");

    /**
     * Creates a client.
     *
     * @param timeout time after which a call without a response fails
     * @param metrics registry of the counters of calls and failures
     */
    public HttpKeyValueStore(
            Vertx vertx, HostPort address, Duration timeout, MetricRegistry metrics) {
        Objects.requireNonNull(vertx, "vertx must not be null");
        Objects.requireNonNull(metrics, "metrics must not be null");
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mTimeout = Objects.requireNonNull(timeout, "timeout must not be null");
        // One connection for each call: a late or duplicate response has no identifier by which it
        // could be told from that of the next call on a kept connection.
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout((int) timeout.toMillis())
                        .setKeepAlive(false);
        mClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));
        // Watches occupy their connections, so they have a separate pool.
        mWatchClient =
                vertx.createHttpClient(options, new PoolOptions().setHttp1MaxSize(MAX_WATCHES));
        mReads = metrics.counter(MetricName.of("key_value_calls", "kind", "reads"));
        mWrites = metrics.counter(MetricName.of("key_value_calls", "kind", "writes"));
        mWatches = metrics.counter(MetricName.of("key_value_calls", "kind", "watches"));
        mFailures = metrics.counter("key_value_failures");
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> read(String key) {
        return call(
                mReads,
                "/v3/kv/range",
                KeyValueJson.range(key, "", 1),
                reply -> KeyValueJson.keyValues(reply).stream().findFirst());
    }

    @Override
    public CompletableFuture<List<KeyValue>> readRange(String from, String to, int limit) {
        return call(
                mReads,
                "/v3/kv/range",
                KeyValueJson.range(from, to, limit),
                KeyValueJson::keyValues);
    }

    @Override
    public CompletableFuture<TransactionResult> commit(Transaction transaction) {
        return call(
                mWrites,
                "/v3/kv/txn",
                KeyValueJson.transaction(transaction),
                KeyValueJson::transactionResult);
    }

    @Override
    public CompletableFuture<Long> grantLease(Duration timeToLive) {
        JsonObject body = new JsonObject().put("TTL", "" + timeToLive.toSeconds());
        return call(mWrites, "/v3/lease/grant", body, reply -> KeyValueJson.number(reply, "ID"));
    }

    @Override
    public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
        JsonObject body = new JsonObject().put("ID", "" + leaseId);
        return call(
                mWrites,
                "/v3/lease/keepalive",
                body,
                reply -> {
                    JsonObject result = reply.getJsonObject("result");
                    if (result == null || KeyValueJson.number(result, "TTL") <= 0) {
                        throw new KeyValueException(
                                "lease " + leaseId + " has expired", false, null);
                    }
                    return null;
                });
    }

    @Override
    public Multi<KeyValue> watch(String prefix) {
        Objects.requireNonNull(prefix, "prefix must not be null");
        return Multi.createFrom().emitter(emitter -> openWatch(prefix, emitter));
    }

    /** Calls the gateway; a reply that the decoder rejects fails the call with unknown result. */
    private <T> CompletableFuture<T> call(
            Counter counter, String path, JsonObject body, Function<JsonObject, T> decoder) {
        counter.inc();
        Future<T> reply =
                mClient.request(options(path))
                        .recover(failure -> Future.failedFuture(callFailure(path, true, failure)))
                        .compose(request -> exchange(request, path, body))
                        .map(decoder)
                        .recover(
                                failure -> Future.failedFuture(toKeyValueException(path, failure)));
        return Futures.toCompletable(reply);
    }

    private Future<JsonObject> exchange(HttpClientRequest request, String path, JsonObject body) {
        Future<Void> sent = request.end(body.toBuffer());
        return request.response()
                .compose(response -> read(response, sent, path))
                .timeout(mTimeout.toMillis(), TimeUnit.MILLISECONDS)
                .onFailure(ignored -> request.reset());
    }

    private static Future<JsonObject> read(
            HttpClientResponse response, Future<Void> sent, String path) {
        return response.body()
                .map(
                        buffer -> {
                            ResponseCheck.headFault(response)
                                    .or(() -> ResponseCheck.endFault(response, sent.succeeded()))
                                    .ifPresent(HttpKeyValueStore::throwInvalid);
                            if (response.statusCode() != HTTP_OK) {
                                throw statusFailure(response.statusCode(), path, buffer);
                            }
                            return new JsonObject(buffer);
                        });
    }

    private static void throwInvalid(String fault) {
        throw new IllegalStateException("response is invalid: " + fault);
    }

    /** A call rejected with a client error was not applied, except after a request timeout. */
    private static KeyValueException statusFailure(int status, String path, Buffer body) {
        boolean notApplied =
                status >= HTTP_CLIENT_ERROR
                        && status < HTTP_SERVER_ERROR
                        && status != HTTP_REQUEST_TIMEOUT;
        return new KeyValueException(path + " answered " + status + ": " + body, notApplied, null);
    }

    private RequestOptions options(String path) {
        return new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(mAddress.host())
                .setPort(mAddress.port())
                .setURI(path)
                .setConnectTimeout(mTimeout.toMillis())
                .putHeader("Content-Type", "application/json");
    }

    private void openWatch(String prefix, MultiEmitter<? super KeyValue> emitter) {
        mWatches.inc();
        AtomicBoolean ended = new AtomicBoolean();
        // Cancelling a watch resets its request, which must not be reported as a failure.
        Consumer<Throwable> fail =
                failure -> {
                    if (ended.compareAndSet(false, true)) {
                        emitter.fail(failure);
                    }
                };
        mWatchClient
                .request(options("/v3/watch"))
                .compose(
                        request -> {
                            emitter.onTermination(
                                    () -> {
                                        ended.set(true);
                                        request.reset();
                                    });
                            return request.send(KeyValueJson.watch(prefix).toBuffer());
                        })
                .onSuccess(response -> readWatch(response, emitter, fail))
                .onFailure(failure -> fail.accept(callFailure("/v3/watch", true, failure)));
    }

    private void readWatch(
            HttpClientResponse response,
            MultiEmitter<? super KeyValue> emitter,
            Consumer<Throwable> fail) {
        if (response.statusCode() != HTTP_OK) {
            String message = "/v3/watch returned status " + response.statusCode();
            fail.accept(new KeyValueException(message, true, null));
            return;
        }
        RecordParser lines =
                RecordParser.newDelimited("\n", response).maxRecordSize(MAX_WATCH_LINE_BYTES);
        lines.exceptionHandler(failure -> fail.accept(callFailure("/v3/watch", true, failure)));
        lines.endHandler(
                ignored ->
                        fail.accept(
                                new KeyValueException(
                                        "/v3/watch was closed by the server", true, null)));
        lines.handler(line -> emitLine(line, emitter, fail));
    }

    private void emitLine(
            Buffer line, MultiEmitter<? super KeyValue> emitter, Consumer<Throwable> fail) {
        try {
            JsonObject message = new JsonObject(line);
            JsonObject result = message.getJsonObject("result");
            if (result == null || KeyValueJson.flag(result, "canceled")) {
                fail.accept(new KeyValueException("watch was cancelled: " + line, true, null));
                return;
            }
            KeyValueJson.changes(result, mMalformedEvents).forEach(emitter::emit);
        } catch (DecodeException | ClassCastException e) {
            fail.accept(
                    new KeyValueException(
                            "/v3/watch sent a malformed message of " + line.length() + " bytes",
                            true,
                            e));
        }
    }

    private KeyValueException toKeyValueException(String path, Throwable failure) {
        mFailures.inc();
        return failure instanceof KeyValueException e ? e : callFailure(path, false, failure);
    }

    private KeyValueException callFailure(String path, boolean notApplied, Throwable cause) {
        String message = path + " of " + mAddress + " failed: " + cause.getMessage();
        return new KeyValueException(message, notApplied, cause);
    }
}
