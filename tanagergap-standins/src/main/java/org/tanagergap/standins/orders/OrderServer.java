package org.tanagergap.standins.orders;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.standins.faults.EarlierRefusals;

/** Plain service that takes orders, which must not be repeated, and serves stock checks. */
public final class OrderServer implements Service {

    private static final int CREATED = 201;
    private static final int UNAVAILABLE = 503;

    private final Vertx mVertx;
    private final RuntimeClock mClock;
    private final HostPort mAddress;
    private final OrderBook mBook = new OrderBook();
    private final EarlierRefusals mRefusals = new EarlierRefusals();
    private volatile JsonObject mFaults = new JsonObject();
    private HttpServer mServer;

    public OrderServer(Vertx vertx, RuntimeClock clock, HostPort address) {
        mVertx = vertx;
        mClock = clock;
        mAddress = address;
    }

    @Override
    public CompletableFuture<Void> start() {
        Router router = Router.router(mVertx);
        router.route().handler(BodyHandler.create(false));
        router.get("/health").handler(context -> context.end("ok\n"));
        router.post("/orders").handler(this::placeOrder);
        router.get("/stock").handler(c -> c.json(new JsonObject().put("lids", 1_200)));
        router.get("/counts").handler(this::counts);
        router.put("/faults").handler(this::setFaults);
        mServer = mVertx.createHttpServer().requestHandler(router);
        return Futures.toCompletable(mServer.listen(mAddress.port(), mAddress.host()).mapEmpty());
    }

    @Override
    public CompletableFuture<Void> stop() {
        return Futures.toCompletable(mServer.close());
    }

    /** Port that the server listens on. */
    public int port() {
        return mServer.actualPort();
    }

    /** Orders placed since the start. */
    public OrderBook book() {
        return mBook;
    }

    private void placeOrder(RoutingContext context) {
        JsonObject faults = mFaults;
        if (faults.getBoolean("cut_before", false)) {
            context.response().reset();
            return;
        }
        if (faults.getBoolean("refuse", false)) {
            mRefusals.refuse(context, UNAVAILABLE, new JsonObject().put("error", "refused"));
            return;
        }
        String key = context.request().getHeader("Idempotency-Key");
        long order = mBook.place(key == null ? "" : key);
        if (faults.getBoolean("cut_after", false)) {
            context.response().reset();
            return;
        }
        if (faults.getBoolean("repeat_refusals", false) && mRefusals.sendAgain(context)) {
            return;
        }
        JsonObject reply = new JsonObject().put("order", order).put("idempotency_key", key);
        long delayMillis = faults.getLong("delay_ms", 0L);
        mClock.schedule(
                Duration.ofMillis(delayMillis),
                () -> context.response().setStatusCode(CREATED).end(reply.encode()));
        context.response().putHeader("Content-Type", "application/json");
    }

    private void counts(RoutingContext context) {
        Map<String, Object> counts = new HashMap<>(mBook.counts());
        context.json(new JsonObject(counts));
    }

    private void setFaults(RoutingContext context) {
        JsonObject faults = context.body().asJsonObject();
        mFaults = faults == null ? new JsonObject() : faults;
        context.response().setStatusCode(204).end();
    }
}
