package org.tanagergap.agent;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.tanagergap.agent.server.GrpcEndpoint;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.StatusReply;
import org.tanagergap.protocol.v1.StatusRequest;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcClient;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.VertxRuntimeClock;
import org.tanagergap.runtime.tls.TlsReloader;
import org.tanagergap.runtime.tls.TlsSettings;
import org.tanagergap.runtime.trace.TraceOutput;
import org.tanagergap.runtime.trace.Tracing;

/** Agent that listens on loopback addresses, with a gRPC client. */
final class NetworkFixture {

    static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final long TIMEOUT_SECONDS = 10;

    final Vertx mVertx = Vertx.vertx();
    final VertxRuntimeClock mClock = new VertxRuntimeClock(mVertx);
    Optional<TlsSettings> mTls = Optional.empty();
    AgentService mAgent;
    GrpcClient mGrpc;
    UpstreamAgentGrpcClient mClient;

    void startAgent(UpstreamKind kind, int upstreamPort, Optional<HostPort> keyValue) {
        ProgramContext program =
                new ProgramContext(
                        mVertx,
                        mClock,
                        new MetricRegistry(),
                        new Tracing("test", TraceOutput.NONE, Optional.empty()),
                        ANY_PORT);
        AgentSettings settings =
                new AgentSettings(
                        ANY_PORT,
                        "upstream-1",
                        "domain-1",
                        "http://127.0.0.1:" + upstreamPort,
                        kind,
                        "service-1",
                        400_000,
                        2,
                        keyValue,
                        Duration.ofMillis(50),
                        mTls,
                        Duration.ofSeconds(5));
        mAgent = new AgentService(settings, program);
        start(mAgent);
        mGrpc =
                GrpcClient.client(
                        mVertx,
                        new GrpcClientOptions().setMaxMessageSize(GrpcEndpoint.MAX_MESSAGE_BYTES),
                        new TlsReloader(mVertx, mClock, mTls)
                                .mutualClient(new HttpClientOptions()));
        mClient =
                UpstreamAgentGrpcClient.create(
                        mGrpc, SocketAddress.inetSocketAddress(mAgent.port(), "127.0.0.1"));
        awaitTrue(() -> status().getHint().getUpstreamReady());
    }

    void start(Service service) {
        await(Futures.toVertx(service.start()));
    }

    StatusReply status() {
        return await(mClient.status(StatusRequest.getDefaultInstance()));
    }

    /** Runs an attempt and waits for its end. */
    RecordingSink run(RunRequest request) {
        RecordingSink sink = new RecordingSink();
        Promise<Void> ended = Promise.promise();
        // Runs on an event loop, so that the handlers are set before any event of the reply
        // arrives.
        mVertx.runOnContext(ignored -> run(request, sink).onComplete(ended));
        await(ended.future());
        return sink;
    }

    private Future<Void> run(RunRequest request, RecordingSink sink) {
        return mClient.run(request)
                .compose(
                        stream -> {
                            Promise<Void> end = Promise.promise();
                            stream.handler(sink::send);
                            stream.exceptionHandler(end::tryFail);
                            stream.endHandler(ignored -> end.tryComplete());
                            return end.future();
                        });
    }

    /** Sets the faults of a stand-in. */
    void faults(int port, JsonObject faults) {
        HttpResponse<Buffer> reply =
                await(
                        WebClient.create(mVertx)
                                .put(port, "127.0.0.1", "/faults")
                                .sendJsonObject(faults));
        if (reply.statusCode() >= 300) {
            throw new AssertionError(
                    "stand-in refused the faults with status " + reply.statusCode());
        }
    }

    JsonObject read(int port, String path) {
        return await(WebClient.create(mVertx).get(port, "127.0.0.1", path).send())
                .bodyAsJsonObject();
    }

    void awaitTrue(BooleanSupplier condition) {
        for (int i = 0; i < TIMEOUT_SECONDS * 100; i++) {
            if (condition.getAsBoolean()) {
                return;
            }
            await(mVertx.timer(10, TimeUnit.MILLISECONDS).mapEmpty());
        }
        throw new AssertionError("condition did not become true");
    }

    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage()
                    .toCompletableFuture()
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError("call failed", e);
        }
    }

    void close() {
        await(mVertx.close());
    }
}
