package org.tanagergap.standins.keyvalue;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.PeriodicTask;
import org.tanagergap.standins.faults.EarlierRefusals;

/** Serves {@link KeyValueState} over the JSON gateway, with limits and faults. */
public final class KeyValueServer implements Service {

    private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(100);

    private final Vertx mVertx;
    private final HostPort mAddress;
    private final RuntimeClock mClock;
    private final Object mLock = new Object();
    private final KeyValueState mState;
    private final FaultSwitches mFaults = new FaultSwitches();
    private final EarlierRefusals mRefusals = new EarlierRefusals();
    private Optional<KeyValueState.Backup> mBackup = Optional.empty();
    private final Map<CallKind, Long> mCounts = new EnumMap<>(CallKind.class);
    private final TokenBucket mReadLimit;
    private final TokenBucket mWriteLimit;
    private final Set<HttpServerResponse> mWatches = ConcurrentHashMap.newKeySet();
    private final PeriodicTask mLeaseCheck;
    private long mRefused;
    private HttpServer mServer;

    public KeyValueServer(
            Vertx vertx, HostPort address, KeyValueLimits limits, RuntimeClock clock) {
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mAddress = Objects.requireNonNull(address, "address must not be null");
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mState = new KeyValueState(limits.maxValueBytes());
        mReadLimit = new TokenBucket(limits.readsPerSecond(), clock.nanoTime());
        mWriteLimit = new TokenBucket(limits.writesPerSecond(), clock.nanoTime());
        mLeaseCheck = new PeriodicTask(clock, LEASE_CHECK_INTERVAL, this::expireLeases);
    }

    @Override
    public CompletableFuture<Void> start() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false));
        call(router, "/v3/kv/range", CallKind.READS, this::range);
        call(router, "/v3/kv/put", CallKind.WRITES, this::put);
        call(router, "/v3/kv/txn", CallKind.WRITES, this::transaction);
        call(router, "/v3/kv/deleterange", CallKind.WRITES, this::deleteRange);
        call(router, "/v3/lease/grant", CallKind.WRITES, this::grantLease);
        call(router, "/v3/lease/keepalive", CallKind.WRITES, this::keepLeaseAlive);
        call(router, "/v3/lease/revoke", CallKind.WRITES, this::revokeLease);
        router.post("/v3/watch")
                .handler(context -> admit(context, CallKind.WATCHES, () -> watch(context)));
        router.put("/faults").handler(this::changeFaults);
        router.get("/faults").handler(this::showFaults);
        router.put("/watch-line").handler(this::sendWatchLine);
        router.get("/counts").handler(this::counts);
        mServer = mVertx.createHttpServer().requestHandler(router);
        Future<HttpServer> listening = mServer.listen(mAddress.port(), mAddress.host());
        return Futures.toCompletable(listening).thenCompose(ignored -> mLeaseCheck.start());
    }

    @Override
    public CompletableFuture<Void> stop() {
        Future<Void> closed = mServer == null ? Future.succeededFuture() : mServer.close();
        return mLeaseCheck.stop().thenCompose(ignored -> Futures.toCompletable(closed));
    }

    /** Port that the server listens on. */
    public int port() {
        return mServer.actualPort();
    }

    private void call(
            Router router, String path, CallKind kind, Function<JsonObject, JsonObject> action) {
        router.post(path)
                .handler(context -> admit(context, kind, () -> respond(context, kind, action)));
    }

    /** Counts the call, then applies outage, rate limit and delay before running the action. */
    private void admit(RoutingContext context, CallKind kind, Runnable action) {
        Duration delay;
        synchronized (mLock) {
            mCounts.merge(kind, 1L, Long::sum);
            if (mFaults.outage()) {
                context.request().connection().close();
                return;
            }
            TokenBucket rateLimit = kind == CallKind.WRITES ? mWriteLimit : mReadLimit;
            if (!rateLimit.tryAcquire(mClock.nanoTime())) {
                mRefused++;
                refuse(context, RefusedCallException.tooManyRequests());
                return;
            }
            delay = mFaults.delay(mClock.nanoTime());
        }
        if (delay.isZero()) {
            action.run();
        } else {
            mClock.schedule(delay, action);
        }
    }

    private void respond(
            RoutingContext context, CallKind kind, Function<JsonObject, JsonObject> action) {
        JsonObject reply;
        synchronized (mLock) {
            try {
                mState.expireLeases(mClock.nanoTime());
                reply = action.apply(body(context));
            } catch (RefusedCallException e) {
                refuse(context, e);
                return;
            }
            if (kind == CallKind.WRITES && mFaults.takeLostReply()) {
                context.request().connection().close();
                return;
            }
            if (mFaults.repeatsRefusals() && mRefusals.sendAgain(context)) {
                return;
            }
        }
        context.json(reply);
    }

    private JsonObject range(JsonObject call) {
        JsonArray values = new JsonArray();
        mState.range(GatewayJson.range(call), GatewayJson.number(call, "limit"))
                .forEach((key, value) -> values.add(GatewayJson.keyValue(key, value)));
        JsonObject reply = GatewayJson.header(mState.revision());
        // The gateway omits empty fields.
        return values.isEmpty() ? reply : reply.put("kvs", values).put("count", "" + values.size());
    }

    private JsonObject put(JsonObject call) {
        mState.commit(List.of(), List.of(GatewayJson.put(call)), List.of());
        return GatewayJson.header(mState.revision());
    }

    private JsonObject deleteRange(JsonObject call) {
        Operation delete = new Operation.Delete(GatewayJson.range(call));
        mState.commit(List.of(), List.of(delete), List.of());
        return GatewayJson.header(mState.revision());
    }

    private JsonObject transaction(JsonObject call) {
        boolean succeeded =
                mState.commit(
                        GatewayJson.comparisons(call),
                        GatewayJson.operations(call, "success"),
                        GatewayJson.operations(call, "failure"));
        JsonObject reply = GatewayJson.header(mState.revision());
        return succeeded ? reply.put("succeeded", true) : reply;
    }

    private JsonObject grantLease(JsonObject call) {
        long seconds = GatewayJson.number(call, "TTL");
        long id = mState.grantLease(seconds, mClock.nanoTime());
        return GatewayJson.header(mState.revision()).put("ID", "" + id).put("TTL", "" + seconds);
    }

    private JsonObject keepLeaseAlive(JsonObject call) {
        long id = GatewayJson.number(call, "ID");
        JsonObject result = GatewayJson.header(mState.revision()).put("ID", "" + id);
        long seconds = mState.keepLeaseAlive(id, mClock.nanoTime());
        return new JsonObject()
                .put("result", seconds > 0 ? result.put("TTL", "" + seconds) : result);
    }

    private JsonObject revokeLease(JsonObject call) {
        mState.revokeLease(GatewayJson.number(call, "ID"));
        return GatewayJson.header(mState.revision());
    }

    private void watch(RoutingContext context) {
        KeyRange range;
        try {
            JsonObject body = body(context);
            range = GatewayJson.range(body.getJsonObject("create_request", new JsonObject()));
        } catch (RefusedCallException e) {
            refuse(context, e);
            return;
        }
        HttpServerResponse response = context.response().setChunked(true);
        synchronized (mLock) {
            long id = mState.watch(range, changes -> sendChanges(response, changes));
            mWatches.add(response);
            response.closeHandler(ignored -> endWatch(response, id));
            send(response, GatewayJson.header(mState.revision()).put("created", true));
        }
    }

    private void endWatch(HttpServerResponse response, long id) {
        mWatches.remove(response);
        synchronized (mLock) {
            mState.cancelWatch(id);
        }
    }

    private void sendChanges(HttpServerResponse response, List<KeyChange> changes) {
        JsonArray events = new JsonArray();
        changes.forEach(change -> events.add(GatewayJson.event(change)));
        send(response, GatewayJson.header(mState.revision()).put("events", events));
    }

    private static void send(HttpServerResponse response, JsonObject result) {
        response.write(new JsonObject().put("result", result).encode() + "\n");
    }

    /** Sends the body as a line of every open watch, so that a test can send a malformed one. */
    private void sendWatchLine(RoutingContext context) {
        synchronized (mLock) {
            mWatches.forEach(watch -> watch.write(context.body().asString() + "\n"));
        }
        context.json(new JsonObject());
    }

    private void changeFaults(RoutingContext context) {
        JsonObject faults;
        try {
            faults = body(context);
        } catch (RefusedCallException e) {
            refuse(context, e);
            return;
        }
        synchronized (mLock) {
            mFaults.update(faults, mClock.nanoTime());
            if (faults.getBoolean("backup", false)) {
                mBackup = Optional.of(mState.backup());
            }
            if (faults.getBoolean("restore", false)) {
                mBackup.ifPresent(mState::restore);
            }
            if (mFaults.outage()) {
                mWatches.forEach(HttpServerResponse::reset);
            }
            context.json(mFaults.toJson());
        }
    }

    private void showFaults(RoutingContext context) {
        synchronized (mLock) {
            context.json(mFaults.toJson());
        }
    }

    private void counts(RoutingContext context) {
        JsonObject counts = new JsonObject();
        synchronized (mLock) {
            for (CallKind kind : CallKind.values()) {
                counts.put(kind.name().toLowerCase(Locale.ROOT), mCounts.getOrDefault(kind, 0L));
            }
            counts.put("refused", mRefused);
        }
        context.json(counts);
    }

    private void expireLeases() {
        synchronized (mLock) {
            mState.expireLeases(mClock.nanoTime());
        }
    }

    private static JsonObject body(RoutingContext context) {
        try {
            JsonObject body = context.body().asJsonObject();
            return body == null ? new JsonObject() : body;
        } catch (DecodeException | ClassCastException e) {
            throw RefusedCallException.invalid("the body is not a JSON object");
        }
    }

    private void refuse(RoutingContext context, RefusedCallException refusal) {
        JsonObject body =
                new JsonObject()
                        .put("error", refusal.getMessage())
                        .put("code", refusal.grpcCode())
                        .put("message", refusal.getMessage());
        mRefusals.refuse(context, refusal.httpStatus(), body);
    }
}
