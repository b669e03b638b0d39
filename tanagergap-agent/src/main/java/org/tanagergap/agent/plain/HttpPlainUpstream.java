package org.tanagergap.agent.plain;

import com.google.protobuf.UnsafeByteOperations;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
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
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tanagergap.agent.http.ResponseBody;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.protocol.v1.Header;
import org.tanagergap.runtime.http.ClientConnections;

/** HTTP client of a plain service. */
public final class HttpPlainUpstream implements PlainUpstream {

    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    /** Equal to the limit for request bodies; the agent buffers each response in memory. */
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

    /** Hop-by-hop headers, and headers that this client sets itself. */
    private static final Set<String> NOT_FORWARDED =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "host",
                    "content-length",
                    "expect",
                    "idempotency-key",
                    "tanagergap-attempt-id",
                    "traceparent");

    private final HttpClient mClient;
    private final SharedMemoryLimit mMemory;
    private final String mBaseUrl;

    /**
     * Creates a client.
     *
     * @param baseUrl URL without a final slash
     * @param concurrency maximum number of calls in flight
     * @param memory limit for the responses that are being read
     */
    public HttpPlainUpstream(
            Vertx vertx, String baseUrl, int concurrency, SharedMemoryLimit memory) {
        mMemory = Objects.requireNonNull(memory, "memory must not be null");
        mBaseUrl = Objects.requireNonNull(baseUrl, "baseUrl must not be null");
        // One connection for each call: a late or duplicate response has no identifier by which it
        // could be told from that of the next call on a kept connection.
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setKeepAlive(false);
        mClient =
                vertx.httpClientBuilder()
                        .with(options)
                        .with(new PoolOptions().setHttp1MaxSize(concurrency))
                        .withConnectHandler(ClientConnections::checkResponses)
                        .build();
    }

    @Override
    public Uni<PlainServiceResponse> send(PlainCall call) {
        return Uni.createFrom().emitter(emitter -> new Exchange(call, emitter).start());
    }

    private RequestOptions options(PlainCall call) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.valueOf(call.method()))
                        .setAbsoluteURI(mBaseUrl + call.path());
        for (Header header : call.headers()) {
            if (!NOT_FORWARDED.contains(header.getName().toLowerCase(Locale.ROOT))) {
                options.addHeader(header.getName(), header.getValue());
            }
        }
        options.putHeader("Tanagergap-Attempt-Id", call.attemptId().value());
        options.putHeader("traceparent", call.traceparent());
        if (!call.idempotencyKey().isEmpty()) {
            options.putHeader("Idempotency-Key", call.idempotencyKey());
        }
        return options;
    }

    private final class Exchange {

        private final PlainCall mCall;
        private final UniEmitter<? super PlainServiceResponse> mEmitter;
        private HttpClientRequest mRequest;
        private boolean mClosed;
        private boolean mComplete;

        Exchange(PlainCall call, UniEmitter<? super PlainServiceResponse> emitter) {
            mCall = call;
            mEmitter = emitter;
        }

        void start() {
            mEmitter.onTermination(this::close);
            RequestOptions options;
            try {
                options = options(mCall);
            } catch (RuntimeException e) {
                mEmitter.fail(
                        RequestFailure.notRun(
                                FailureCode.MALFORMED_REQUEST, "call is not valid: " + e));
                return;
            }
            mClient.request(options)
                    .onFailure(
                            failure ->
                                    mEmitter.fail(
                                            RequestFailure.notRun(
                                                            FailureCode.UPSTREAM_FAILED,
                                                            "plain service is unreachable: "
                                                                    + failure.getMessage())
                                                    .withCause(failure)))
                    .onSuccess(this::sendRequest);
        }

        private void sendRequest(HttpClientRequest request) {
            synchronized (this) {
                mRequest = request;
                if (mClosed) {
                    request.reset();
                    return;
                }
            }
            Future<Void> sent = request.end(Buffer.buffer(mCall.body().toByteArray()));
            request.response()
                    .compose(
                            response ->
                                    ResponseBody.read(response, sent, MAX_RESPONSE_BYTES, mMemory)
                                            .map(body -> serviceResponse(response, body)))
                    .onSuccess(
                            serviceResponse -> {
                                complete();
                                mEmitter.complete(serviceResponse);
                            })
                    .onFailure(failure -> mEmitter.fail(connectionFailure(failure)));
        }

        private synchronized void close() {
            mClosed = true;
            if (mRequest != null && !mComplete) {
                mRequest.reset();
            }
        }

        /** Marks the response as complete, so that {@link #close} has nothing left to cancel. */
        private synchronized void complete() {
            mComplete = true;
        }
    }

    private static Throwable connectionFailure(Throwable failure) {
        return failure instanceof RequestFailure
                ? failure
                : RequestFailure.of(
                                FailureCode.UPSTREAM_FAILED,
                                Execution.UNKNOWN,
                                "connection to the plain service failed: " + failure.getMessage())
                        .withCause(failure);
    }

    private static PlainServiceResponse serviceResponse(HttpClientResponse response, Buffer body) {
        List<Header> headers = new ArrayList<>();
        for (Map.Entry<String, String> header : response.headers()) {
            if (!NOT_FORWARDED.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                headers.add(
                        Header.newBuilder()
                                .setName(header.getKey())
                                .setValue(header.getValue())
                                .build());
            }
        }
        return new PlainServiceResponse(
                response.statusCode(),
                headers,
                UnsafeByteOperations.unsafeWrap(body.getBytes()),
                false);
    }
}
