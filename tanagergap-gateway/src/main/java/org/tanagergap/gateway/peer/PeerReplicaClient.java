package org.tanagergap.gateway.peer;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.gateway.membership.PeerChanges;
import org.tanagergap.gateway.membership.PeerReplicas;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.BufferedCall;
import org.tanagergap.runtime.settings.HostPort;

/** Fetches changes from the replicas of peers. */
public final class PeerReplicaClient implements PeerReplicas {

    /** A replica holds the configuration, of a few MB at most, and one entry for each upstream. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final HttpClient mClient;
    private final PeerDirectory mDirectory;
    private int mNextPeer;

    public PeerReplicaClient(HttpClient client, PeerDirectory directory) {
        mClient = client;
        mDirectory = directory;
    }

    @Override
    public Optional<CompletableFuture<PeerChanges>> changesAfter(StorePosition position) {
        List<HostPort> peers = mDirectory.peersAheadOf(position);
        if (peers.isEmpty()) {
            return Optional.empty();
        }
        // Round robin, because the peer with the newest replica may be unreachable.
        HostPort peer = peers.get(mNextPeer++ % peers.size());
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost(peer.host())
                        .setPort(peer.port())
                        .setConnectTimeout(TIMEOUT.toMillis())
                        .setURI(PeerReplicaServer.uri(position));
        Future<PeerChanges> changes =
                mClient.request(options)
                        .compose(
                                request ->
                                        BufferedCall.send(
                                                request,
                                                Optional.empty(),
                                                TIMEOUT,
                                                MAX_RESPONSE_BYTES))
                        .map(response -> decode(response.body()).receivedFrom(peer.toString()));
        return Optional.of(Futures.toCompletable(changes));
    }

    /** Throws a {@link RuntimeException} if the response or one of its items is malformed. */
    static PeerChanges decode(Buffer body) {
        JsonObject json = new JsonObject(body);
        List<KeyValue> items = new ArrayList<>();
        for (Object element : json.getJsonArray(PeerReplicaServer.ITEMS)) {
            JsonArray item = (JsonArray) element;
            items.add(
                    new KeyValue(
                            Objects.requireNonNull((String) item.getValue(0)),
                            Objects.requireNonNull((String) item.getValue(1)),
                            PeerNumbers.position(item.getValue(2)),
                            PeerNumbers.position(item.getValue(3))));
        }
        StorePosition position =
                new StorePosition(
                        PeerNumbers.position(json.getValue(PeerReplicaServer.EPOCH, 0)),
                        PeerNumbers.position(json.getValue(PeerReplicaServer.REVISION)));
        return new PeerChanges(
                items, position, json.getBoolean(PeerReplicaServer.ALL_ITEMS, false));
    }
}
