package org.tanagergap.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.PeriodicTask;
import org.tanagergap.standins.faults.EarlierRefusals;

/** Serves an {@link EngineModel} over HTTP. All handlers run on one event loop. */
public final class EngineServer implements Service {

    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;

    private final Vertx mVertx;
    private final HostPort mAddress;
    private final EngineServerSettings mServerSettings;
    private final EngineModel mEngine;
    private final CacheEventFeed mCacheEvents;
    private final EngineFaults mFaults = new EngineFaults();
    private final EngineSilence mSilence;
    private final EarlierRefusals mRefusals = new EarlierRefusals();
    private final RequestParser mParser;
    private final WebClient mClient;
    private final PeriodicTask mLoadSampler;
    private StandInEngineLoad mSampledLoad;
    private long mSubmitted;
    private HttpServer mServer;

    public EngineServer(
            Vertx vertx,
            RuntimeClock clock,
            HostPort address,
            EngineSettings settings,
            EngineServerSettings serverSettings) {
        mVertx = vertx;
        mAddress = address;
        mServerSettings = serverSettings;
        mCacheEvents =
                new CacheEventFeed(
                        clock, serverSettings.cacheEventDelay(), serverSettings.dropEveryEvent());
        mSilence = new EngineSilence(clock);
        mEngine =
                new EngineModel(
                        clock, settings, event -> mSilence.run(() -> mCacheEvents.publish(event)));
        mParser = new RequestParser(settings);
        mClient = WebClient.create(vertx);
        mSampledLoad = mEngine.load();
        mLoadSampler =
                new PeriodicTask(
                        clock, serverSettings.loadLag(), () -> mSampledLoad = mEngine.load());
    }

    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        // The model is confined to the event loop on which the server is created.
        mVertx.getOrCreateContext()
                .runOnContext(
                        ignored -> {
                            mLoadSampler.start();
                            mServer =
                                    mVertx.createHttpServer(
                                                    new HttpServerOptions().setIdleTimeout(0))
                                            .requestHandler(router());
                            Futures.toCompletable(mServer.listen(mAddress.port(), mAddress.host()))
                                    .whenComplete(
                                            (server, failure) -> {
                                                if (failure == null) {
                                                    started.complete(null);
                                                } else {
                                                    started.completeExceptionally(failure);
                                                }
                                            });
                        });
        return started;
    }

    @Override
    public CompletableFuture<Void> stop() {
        mLoadSampler.stop();
        return Futures.toCompletable(mServer.close());
    }

    /** Port that the server listens on. */
    public int port() {
        return mServer.actualPort();
    }

    private Router router() {
        Router router = Router.router(mVertx);
        router.route().handler(this::readUnlessSilent);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        router.get("/health").handler(context -> context.end("ok\n"));
        router.post("/v1/completions").handler(this::complete);
        router.get("/v1/runs").handler(this::listRuns);
        router.post("/v1/runs/:id/cancel").handler(this::cancel);
        router.get("/load").handler(this::load);
        router.get("/cache/events").handler(c -> mCacheEvents.subscribe(c.response()));
        router.post("/kv/prefill").handler(this::prefill);
        router.get("/kv/:handle").handler(this::export);
        router.delete("/kv/:handle").handler(this::release);
        router.post("/admin/orders").handler(this::handleAdministrativeRequest);
        router.put("/faults").handler(this::setFaults);
        router.get("/counts").handler(c -> c.json(new JsonObject().put("submitted", mSubmitted)));
        return router;
    }

    private void readUnlessSilent(RoutingContext context) {
        context.request().pause();
        mSilence.run(
                () -> {
                    context.request().resume();
                    context.next();
                });
    }

    private void complete(RoutingContext context) {
        JsonObject json = context.body().asJsonObject();
        if (refuseIfInvalid(context, json)) {
            return;
        }
        importSegments(RequestParser.segmentAddresses(json))
                .onSuccess(imported -> startCompletion(context, json, imported))
                .onFailure(failure -> refuse(context, 424, "import_failed", failure.getMessage()));
    }

    private void startCompletion(
            RoutingContext context, JsonObject json, List<ImportedSegment> imported) {
        EngineRequest request = mParser.completion(json, imported);
        HttpServerResponse response = context.response();
        CompletionStream stream =
                new CompletionStream(request.requestId(), response, mFaults, mSilence);
        if (submitOrRefuse(context, request, stream)) {
            if (mFaults.repeatsRefusals() && mRefusals.sendAgain(context)) {
                return;
            }
            response.setChunked(true).putHeader("Content-Type", "text/event-stream");
            response.write(": accepted\n\n");
            response.closeHandler(ignored -> mEngine.cancel(request.requestId()));
        }
    }

    private void prefill(RoutingContext context) {
        JsonObject json = context.body().asJsonObject();
        if (refuseIfInvalid(context, json)) {
            return;
        }
        String handle = "kv-" + json.getString("request_id", "");
        importSegments(RequestParser.segmentAddresses(json))
                .onSuccess(imported -> startPrefill(context, json, imported, handle))
                .onFailure(failure -> refuse(context, 424, "import_failed", failure.getMessage()));
    }

    private void startPrefill(
            RoutingContext context,
            JsonObject json,
            List<ImportedSegment> imported,
            String handle) {
        EngineRequest request = mParser.segment(json, imported, handle);
        SegmentReply reply = new SegmentReply(handle, request.promptTokens(), context.response());
        if (submitOrRefuse(context, request, reply)) {
            context.response().closeHandler(ignored -> mEngine.cancel(request.requestId()));
        }
    }

    private boolean refuseIfInvalid(RoutingContext context, JsonObject json) {
        if (json == null || json.getString("request_id", "").isEmpty()) {
            refuse(context, 400, "malformed", "request_id is required");
            return true;
        }
        if (mFaults.refusesRequests()) {
            if (mFaults.retryAfterSeconds() > 0) {
                context.response()
                        .putHeader("Retry-After", Double.toString(mFaults.retryAfterSeconds()));
            }
            refuse(context, 429, "refused", "the engine refuses all requests");
            return true;
        }
        if (mFaults.errorStatus() > 0) {
            context.response().setStatusCode(mFaults.errorStatus()).end("engine error: no memory");
            return true;
        }
        if (!mServerSettings.model().equals(json.getString("model"))) {
            refuse(context, 404, "unknown_model", "model is not loaded");
            return true;
        }
        return false;
    }

    private boolean submitOrRefuse(
            RoutingContext context, EngineRequest request, RunObserver observer) {
        SubmitOutcome outcome = mEngine.submit(request, observer);
        switch (outcome) {
            case ACCEPTED -> mSubmitted++;
            case DUPLICATE -> refuse(context, 409, "duplicate", "request_id is in use");
            case QUEUE_FULL -> refuse(context, 429, "queue_full", "too many requests wait");
            case TOO_LARGE -> refuse(context, 400, "too_large", "prompt exceeds the memory");
        }
        return outcome == SubmitOutcome.ACCEPTED;
    }

    private Future<List<ImportedSegment>> importSegments(List<SegmentAddress> addresses) {
        Future<List<ImportedSegment>> result = Future.succeededFuture(new ArrayList<>());
        for (SegmentAddress address : addresses) {
            result = result.compose(imported -> importSegment(address, imported));
        }
        return result;
    }

    private Future<List<ImportedSegment>> importSegment(
            SegmentAddress address, List<ImportedSegment> imported) {
        return mClient.getAbs(address.url() + "/kv/" + address.handle())
                .timeout(Duration.ofSeconds(10).toMillis())
                .send()
                .compose(
                        response -> {
                            if (response.statusCode() != 200) {
                                return Future.failedFuture("segment is not held: " + address);
                            }
                            JsonObject json = response.bodyAsJsonObject();
                            imported.add(
                                    new ImportedSegment(
                                            json.getLong("tokens"), json.getLong("digest")));
                            return Future.succeededFuture(imported);
                        });
    }

    private void export(RoutingContext context) {
        EngineRequest segment = mEngine.segment(context.pathParam("handle"));
        if (segment == null) {
            refuse(context, 404, "unknown_handle", "segment is not held");
            return;
        }
        context.json(
                new JsonObject()
                        .put("tokens", segment.promptTokens())
                        .put("digest", segment.promptDigest()));
    }

    private void release(RoutingContext context) {
        boolean released = mEngine.releaseSegment(context.pathParam("handle"));
        context.response().setStatusCode(released ? 204 : 404).end();
    }

    private void listRuns(RoutingContext context) {
        JsonArray runs = new JsonArray();
        for (RunState run : mEngine.runs()) {
            runs.add(
                    new JsonObject()
                            .put("request_id", run.requestId())
                            .put("memory_tokens", run.memoryTokens())
                            .put("state", run.state()));
        }
        context.json(new JsonObject().put("runs", runs));
    }

    private void cancel(RoutingContext context) {
        boolean cancelled = mEngine.cancel(context.pathParam("id"));
        context.response().setStatusCode(cancelled ? 204 : 404).end();
    }

    private void load(RoutingContext context) {
        StandInEngineLoad load = mSampledLoad;
        context.json(
                new JsonObject()
                        .put("memory_tokens_used", load.memoryTokensUsed())
                        .put("memory_tokens_total", load.memoryTokensTotal())
                        .put("queued", load.queued())
                        .put("prefill_tokens_queued", load.prefillTokensQueued())
                        .put("sampled_at_ms", load.sampledAt().toEpochMilli()));
    }

    private void handleAdministrativeRequest(RoutingContext context) {
        long fencingNumber = context.body().asJsonObject().getLong("fencing", 0L);
        if (mServerSettings.checksFencing() && !mEngine.acceptFencingNumber(fencingNumber)) {
            refuse(context, 409, "old_fencing", "fencing number is lower than the last one");
            return;
        }
        context.response().setStatusCode(204).end();
    }

    private void setFaults(RoutingContext context) {
        Buffer body = context.body().buffer();
        mFaults.replace(body == null ? new JsonObject() : body.toJsonObject());
        mFaults.takeSilence(0).ifPresent(mSilence::begin);
        context.response().setStatusCode(204).end();
    }

    private void refuse(RoutingContext context, int status, String code, String message) {
        JsonObject error = new JsonObject().put("code", code).put("message", message);
        mRefusals.refuse(context, status, new JsonObject().put("error", error));
    }
}
