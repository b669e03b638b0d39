package org.tanagergap.entry.agent;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.Http2Settings;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClient;
import io.vertx.grpc.client.GrpcClientOptions;
import io.vertx.grpc.client.GrpcClientRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.protocol.v1.CancelRequest;
import org.tanagergap.protocol.v1.EntryPeerGrpcClient;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcClient;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.tls.TlsReloader;

/** gRPC connections to agents and to other entries. */
public final class AgentClients {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /** A body of 16 MiB can double when its text is encoded. */
    public static final long MAX_MESSAGE_BYTES = 32L * 1024 * 1024;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int STREAM_WINDOW_BYTES = 256 * 1024;

    private final Vertx mVertx;
    private final TlsReloader mTls;

    /** Clients with replaced TLS keys; their calls continue and their idle connections close. */
    private final List<GrpcClient> mRetired = new CopyOnWriteArrayList<>();

    private volatile GrpcClient mClient;

    public AgentClients(Vertx vertx, TlsReloader tls) {
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mTls = Objects.requireNonNull(tls, "tls must not be null");
        mClient = createClient();
        tls.onChange(this::replaceClient);
    }

    /** Connects to an agent for one attempt; if the future fails, nothing has been sent. */
    public Future<GrpcClientRequest<RunRequest, RunEvent>> connectForRun(String address) {
        return socketAddress(address)
                .compose(socket -> mClient.request(socket, UpstreamAgentGrpcClient.Run));
    }

    /** Client of an agent for calls other than Run. */
    public Future<UpstreamAgentGrpcClient> agent(String address) {
        return socketAddress(address).map(a -> UpstreamAgentGrpcClient.create(mClient, a));
    }

    /** Requests the cancellation of an attempt, which ends the call of the attempt. */
    public void cancel(String address, AttemptId attempt) {
        CancelRequest request = CancelRequest.newBuilder().setAttemptId(attempt.value()).build();
        agent(address)
                .compose(client -> client.cancel(request))
                .onFailure(
                        failure ->
                                sLogger.atFine().withCause(failure).log(
                                        "attempt %s at agent address %s could not be cancelled",
                                        attempt, address));
    }

    /** Client of another entry. */
    public EntryPeerGrpcClient peer(HostPort peer) {
        return EntryPeerGrpcClient.create(
                mClient, SocketAddress.inetSocketAddress(peer.port(), peer.host()));
    }

    /** Closes all connections. */
    public Future<Void> close() {
        List<Future<Void>> closed = new ArrayList<>();
        mRetired.forEach(client -> closed.add(client.close()));
        closed.add(mClient.close());
        return Future.join(closed).mapEmpty();
    }

    /** A gRPC client cannot change its keys, and closing the earlier one would break its calls. */
    private void replaceClient() {
        mRetired.add(mClient);
        mClient = createClient();
    }

    private GrpcClient createClient() {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setInitialSettings(
                                new Http2Settings().setInitialWindowSize(STREAM_WINDOW_BYTES));
        return GrpcClient.client(
                mVertx,
                new GrpcClientOptions().setMaxMessageSize(MAX_MESSAGE_BYTES),
                mTls.mutualClient(options));
    }

    private static Future<SocketAddress> socketAddress(String address) {
        return HostPort.parse(address)
                .map(a -> SocketAddress.inetSocketAddress(a.port(), a.host()))
                .map(Future::succeededFuture)
                .orElseGet(
                        () -> Future.failedFuture("address \"" + address + "\" is not host:port"));
    }
}
