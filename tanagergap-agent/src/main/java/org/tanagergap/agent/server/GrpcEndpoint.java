package org.tanagergap.agent.server;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;
import io.vertx.grpc.server.GrpcServerRequest;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcService;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.CallMemory;
import org.tanagergap.runtime.http.Http2Only;
import org.tanagergap.runtime.http.InboundLimits;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.http.ServerLimits;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.tls.TlsReloader;

/** gRPC server of the agent. */
public final class GrpcEndpoint implements Service {

    /** Twice the largest request body, which JSON and protobuf encoding may enlarge. */
    public static final int MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

    /** Time at shutdown for the last events to reach their callers. */
    private static final long SHUTDOWN_SECONDS = 1;

    private final Vertx mVertx;
    private final HostPort mAddress;
    private final UpstreamAgentRpcHandler mRpcHandler;
    private final TlsReloader mTls;
    private final InboundProtection mInbound;
    private final CallMemory mMemory;
    private HttpServer mServer;

    /**
     * Close action of the call that is being opened. One field is enough because the gRPC server
     * invokes the handler of a call synchronously, on the single event loop of the agent.
     */
    private AtomicReference<Runnable> mOpeningCloseAction;

    /**
     * Creates a server.
     *
     * @param memory memory of messages and replies
     */
    public GrpcEndpoint(
            Vertx vertx,
            HostPort address,
            UpstreamAgentRpcHandler rpcHandler,
            TlsReloader tls,
            InboundProtection inbound,
            CallMemory memory) {
        mInbound = Objects.requireNonNull(inbound, "inbound must not be null");
        mMemory = Objects.requireNonNull(memory, "memory must not be null");
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mRpcHandler = Objects.requireNonNull(rpcHandler, "rpcHandler must not be null");
        mTls = Objects.requireNonNull(tls, "tls must not be null");
    }

    @Override
    public CompletableFuture<Void> start() {
        GrpcServerOptions options = new GrpcServerOptions().setMaxMessageSize(MAX_MESSAGE_BYTES);
        GrpcServer grpc = GrpcServer.server(mVertx, options);
        UpstreamAgentGrpcService.builder(mRpcHandler)
                .bind(
                        UpstreamAgentGrpcService.Cancel,
                        UpstreamAgentGrpcService.Hold,
                        UpstreamAgentGrpcService.ReleaseHold,
                        UpstreamAgentGrpcService.PrefillSegment,
                        UpstreamAgentGrpcService.Exchange,
                        UpstreamAgentGrpcService.Status)
                .build()
                .bind(grpc);
        grpc.callHandler(UpstreamAgentGrpcService.Run, this::run);
        Handler<HttpServerRequest> calls = Http2Only.handler(request -> open(request, grpc));
        mServer =
                mInbound.protectCalls(
                        mTls.mutualServer(ServerLimits.options(), calls),
                        InboundLimits.INTERNAL,
                        mMemory);
        return Futures.toCompletable(mServer.listen(mAddress.port(), mAddress.host()).mapEmpty());
    }

    @Override
    public CompletableFuture<Void> stop() {
        Future<Void> closed =
                mServer == null
                        ? Future.succeededFuture()
                        : mServer.shutdown(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        return Futures.toCompletable(closed);
    }

    /** Port that the server listens on. */
    public int port() {
        return mServer.actualPort();
    }

    /**
     * Passes a request to the gRPC server. Its handlers do not report a stream that the caller
     * resets after sending its request, so a close handler is set on the underlying HTTP response.
     */
    private void open(HttpServerRequest request, GrpcServer grpc) {
        AtomicReference<Runnable> closed = new AtomicReference<>(() -> {});
        request.response().closeHandler(ignored -> closed.get().run());
        mOpeningCloseAction = closed;
        try {
            grpc.handle(request);
        } finally {
            mOpeningCloseAction = null;
        }
    }

    private void run(GrpcServerRequest<RunRequest, RunEvent> call) {
        AtomicReference<Runnable> closed = mOpeningCloseAction;
        ResponseSink sink = new ResponseSink(call.response());
        call.handler(
                request -> {
                    Runnable cancel = mRpcHandler.run(request, sink);
                    closed.set(
                            () -> {
                                sink.close();
                                cancel.run();
                            });
                });
    }
}
