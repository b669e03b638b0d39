package org.tanagergap.entry.configuration;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.grpc.server.GrpcServer;
import io.vertx.grpc.server.GrpcServerOptions;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.entry.agent.AgentClients;
import org.tanagergap.protocol.v1.ConfigurationReply;
import org.tanagergap.protocol.v1.ConfigurationRequest;
import org.tanagergap.protocol.v1.EntryPeerGrpcService;
import org.tanagergap.protocol.v1.EntryPeerService;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.CallMemory;
import org.tanagergap.runtime.http.Http2Only;
import org.tanagergap.runtime.http.InboundLimits;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.tls.TlsReloader;

/** Serves the configuration in effect to other entries and to operators. */
public final class PeerServer implements Service {

    private final Vertx mVertx;
    private final HostPort mAddress;
    private final ConfigurationView mView;
    private final TlsReloader mTls;
    private final InboundProtection mInbound;
    private final CallMemory mMemory;
    private HttpServer mServer;

    /**
     * Creates a server.
     *
     * @param memory memory of messages and replies
     */
    public PeerServer(
            Vertx vertx,
            HostPort address,
            ConfigurationView view,
            TlsReloader tls,
            InboundProtection inbound,
            CallMemory memory) {
        mInbound = Objects.requireNonNull(inbound, "inbound must not be null");
        mMemory = Objects.requireNonNull(memory, "memory must not be null");
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mView = Objects.requireNonNull(view, "view must not be null");
        mTls = Objects.requireNonNull(tls, "tls must not be null");
    }

    @Override
    public CompletableFuture<Void> start() {
        GrpcServer grpc =
                GrpcServer.server(
                        mVertx,
                        new GrpcServerOptions().setMaxMessageSize(AgentClients.MAX_MESSAGE_BYTES));
        grpc.addService(EntryPeerGrpcService.of(new Handler()));
        mServer =
                mInbound.protectCalls(
                        mTls.mutualServer(new HttpServerOptions(), Http2Only.handler(grpc)),
                        InboundLimits.INTERNAL,
                        mMemory);
        return Futures.toCompletable(mServer.listen(mAddress.port(), mAddress.host()).mapEmpty());
    }

    @Override
    public CompletableFuture<Void> stop() {
        return Futures.toCompletable(
                mServer == null ? Future.<Void>succeededFuture() : mServer.close());
    }

    /** Port that the server listens on. */
    public int port() {
        return mServer.actualPort();
    }

    private final class Handler extends EntryPeerService {
        @Override
        public Future<ConfigurationReply> configuration(ConfigurationRequest request) {
            ConfigurationSnapshot snapshot = mView.current();
            ConfigurationReply.Builder reply =
                    ConfigurationReply.newBuilder().setVersion(snapshot.version());
            if (snapshot.version() > request.getKnownVersion()) {
                reply.setDocument(snapshot.document());
            }
            return Future.succeededFuture(reply.build());
        }
    }
}
