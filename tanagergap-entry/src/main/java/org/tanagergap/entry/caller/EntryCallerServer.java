package org.tanagergap.entry.caller;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.entry.configuration.ConfigurationView;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.ErrorBody;
import org.tanagergap.runtime.http.InboundLimits;
import org.tanagergap.runtime.http.ServerLimits;
import org.tanagergap.runtime.time.PendingReads;
import org.tanagergap.runtime.tls.TlsReloader;

/** Serves the caller API. */
public final class EntryCallerServer implements Service {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final CallerServerContext mServerContext;
    private final TlsReloader mTls;
    private final RequestIds mIds;
    private final PolicyReader mPolicies;
    private final CompletionHandler mCompletions;
    private final PlainHandler mPlain;
    private final Context mEventLoop;
    private HttpServer mServer;

    /**
     * Creates a server.
     *
     * @param eventLoop serves all connections
     */
    public EntryCallerServer(
            CallerServerContext serverContext,
            Context eventLoop,
            TlsReloader tls,
            ConfigurationView view,
            RequestIds ids) {
        mServerContext = Objects.requireNonNull(serverContext, "shared must not be null");
        mTls = Objects.requireNonNull(tls, "tls must not be null");
        mIds = Objects.requireNonNull(ids, "ids must not be null");
        mPolicies = new PolicyReader(view, serverContext.clock());
        mCompletions = new CompletionHandler(serverContext);
        mPlain = new PlainHandler(serverContext);
        mEventLoop = Objects.requireNonNull(eventLoop, "eventLoop must not be null");
    }

    @Override
    public CompletableFuture<Void> start() {
        Router router = Router.router(mServerContext.vertx());
        router.post("/v1/completions")
                .handler(context -> handle(context, call -> mCompletions.handle(call, false)));
        router.post("/v1/chat/completions")
                .handler(context -> handle(context, call -> mCompletions.handle(call, true)));
        router.get("/v1/models").handler(context -> handle(context, EntryCallerServer::models));
        router.route(PlainHandler.PREFIX + "*").handler(c -> handle(c, mPlain::handle));
        router.route().handler(context -> handle(context, EntryCallerServer::unknownPath));
        mServer =
                mServerContext
                        .inbound()
                        .protect(
                                mTls.server(ServerLimits.options(), router),
                                InboundLimits.INTERNAL);
        var address = mServerContext.settings().listen();
        return Futures.onContext(
                mEventLoop,
                () ->
                        Futures.toCompletable(
                                mServer.listen(address.port(), address.host()).mapEmpty()));
    }

    /** Refuses new requests, finishes those in flight and closes the port. */
    @Override
    public CompletableFuture<Void> stop() {
        return mServerContext.requestsInFlight().close().thenCompose(ignored -> close());
    }

    /** Port that the server listens on. */
    public int port() {
        return mServer.actualPort();
    }

    /** Closes the server after the refusal of the requests that have arrived before. */
    private CompletableFuture<Void> close() {
        if (mServer == null) {
            return CompletableFuture.completedFuture(null);
        }
        PendingReads reads = new PendingReads(mServerContext.clock());
        return Futures.onContext(
                mEventLoop,
                () -> {
                    Promise<Void> closed = Promise.promise();
                    // A graceful close lets callers receive the last bytes of their responses.
                    reads.thenRun(() -> mServer.shutdown().onComplete(closed));
                    return Futures.toCompletable(closed.future());
                });
    }

    private void handle(RoutingContext context, Consumer<CallerCall> handler) {
        Span span =
                mServerContext
                        .tracing()
                        .start(
                                "request",
                                SpanKind.SERVER,
                                Optional.ofNullable(
                                        context.request().getHeader(CallerHeaders.TRACEPARENT)));
        boolean accepted = mServerContext.requestsInFlight().tryBegin();
        if (!accepted) {
            refuseDuringShutdown(context, span);
            return;
        }
        CallerCall call =
                new CallerCall(mServerContext, context, mIds.next(), mIds.entryId(), span);
        call.onDisconnect(call::abandoned);
        try {
            call.selectPolicy(mPolicies.read(context.request()));
            handler.accept(call);
        } catch (RequestFailure e) {
            call.refuse(e);
        } catch (RuntimeException e) {
            // The request has not reached the executor, which reports failures to its sink.
            sLogger.atSevere().withCause(e).log(
                    "request %s failed with an unexpected exception", call.id());
            call.refuse(
                    RequestFailure.notRun(FailureCode.UNAVAILABLE, "internal failure")
                            .withCause(e));
        }
    }

    private void refuseDuringShutdown(RoutingContext context, Span span) {
        RequestFailure failure =
                RequestFailure.notRun(FailureCode.UNAVAILABLE, "the entry is shutting down");
        mServerContext.metrics().requestEnded("none", failure.code().wireName());
        var id = mIds.next();
        new RequestLog(id, mIds.entryId()).failed(failure, 0);
        span.end();
        // HTTP/2 has no such header; the shutdown of the server notifies its connections.
        if (context.request().version() != HttpVersion.HTTP_2) {
            context.response().putHeader("Connection", "close");
        }
        context.response()
                .setStatusCode(failure.code().httpStatus())
                .putHeader(CallerHeaders.REQUEST_ID, id.value())
                .putHeader("Content-Type", "application/json")
                .end(ErrorBody.of(failure, id).toBuffer());
    }

    private static void models(CallerCall call) {
        JsonArray data = new JsonArray();
        for (String name : call.policy().workspace().services()) {
            call.policy()
                    .configuration()
                    .service(name)
                    .flatMap(service -> service.model())
                    .ifPresent(
                            model ->
                                    data.add(
                                            new JsonObject()
                                                    .put("id", model)
                                                    .put("object", "model")
                                                    .put("owned_by", name)));
        }
        call.context().json(new JsonObject().put("object", "list").put("data", data));
        call.succeeded();
    }

    private static void unknownPath(CallerCall call) {
        throw RequestFailure.notRun(
                        FailureCode.UNKNOWN_SERVICE,
                        call.context().request().method()
                                + " "
                                + call.context().normalizedPath()
                                + " does not exist")
                .withField("path");
    }
}
