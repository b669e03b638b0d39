package org.tanagergap.gateway.peer;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.gateway.membership.PeerChanges;
import org.tanagergap.gateway.membership.StoreReplica;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.BoundedResponses;
import org.tanagergap.runtime.http.InboundLimits;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.settings.HostPort;

/** Serves the local replica of the store to peers. */
public final class PeerReplicaServer implements Service {

    static final String EPOCH = "epoch";
    static final String REVISION = "revision";
    static final String ITEMS = "items";

    /** Whether the items are all that exist, and not only changes. */
    static final String ALL_ITEMS = "all_items";

    private static final String PATH = "/copy";
    private static final String AFTER = "after";
    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_NOT_FOUND = 404;

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Vertx mVertx;
    private final HostPort mAddress;
    private final Supplier<StoreReplica> mReplica;
    private final InboundProtection mInbound;
    private final BoundedResponses mResponses;
    private HttpServer mServer;

    public PeerReplicaServer(
            Vertx vertx,
            HostPort address,
            Supplier<StoreReplica> replica,
            InboundProtection inbound,
            BoundedResponses responses) {
        mInbound = inbound;
        mResponses = responses;
        mVertx = vertx;
        mAddress = address;
        mReplica = replica;
    }

    /** URI of the items after the position. */
    static String uri(StorePosition position) {
        return PATH
                + "?"
                + AFTER
                + "="
                + position.revision()
                + "&"
                + EPOCH
                + "="
                + position.epoch();
    }

    @Override
    public CompletableFuture<Void> start() {
        mServer =
                mInbound.protect(
                                mVertx.createHttpServer(InboundLimits.internalOptions()),
                                InboundLimits.INTERNAL)
                        .requestHandler(this::serve);
        return Futures.toCompletable(mServer.listen(mAddress.port(), mAddress.host()).mapEmpty());
    }

    @Override
    public CompletableFuture<Void> stop() {
        Future<Void> closed = mServer == null ? Future.succeededFuture() : mServer.close();
        return Futures.toCompletable(closed);
    }

    private void serve(HttpServerRequest request) {
        if (!PATH.equals(request.path())) {
            request.response().setStatusCode(HTTP_NOT_FOUND).end();
            return;
        }
        StorePosition after;
        try {
            after =
                    new StorePosition(
                            Long.parseLong(request.getParam(EPOCH, "0")),
                            Long.parseLong(request.getParam(AFTER, "0")));
        } catch (NumberFormatException e) {
            request.response()
                    .setStatusCode(HTTP_BAD_REQUEST)
                    .end("\"" + AFTER + "\" or \"" + EPOCH + "\" is not a whole number\n");
            return;
        }
        mResponses.send(request, () -> changesAfter(after));
    }

    private Buffer changesAfter(StorePosition after) {
        PeerChanges changes = mReplica.get().changesAfter(after);
        JsonArray items = new JsonArray();
        for (KeyValue item : changes.items()) {
            items.add(
                    new JsonArray()
                            .add(item.key())
                            .add(item.value())
                            .add(item.modRevision())
                            .add(item.createRevision()));
        }
        sLogger.atFine().log("sending a peer %d items after revision %s", items.size(), after);
        return new JsonObject()
                .put(EPOCH, changes.position().epoch())
                .put(REVISION, changes.position().revision())
                .put(ALL_ITEMS, changes.allItems())
                .put(ITEMS, items)
                .toBuffer();
    }
}
