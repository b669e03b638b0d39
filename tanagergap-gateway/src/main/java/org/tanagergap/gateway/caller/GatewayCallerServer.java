package org.tanagergap.gateway.caller;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.gateway.InboundSettings;
import org.tanagergap.gateway.configuration.CallerLimits;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.wire.GatewayCallerHeaders;
import org.tanagergap.gateway.wire.WireFormat;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.InboundLimits;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.log.LogKeys;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.time.PendingReads;
import org.tanagergap.runtime.time.PeriodicTask;

/** Accepts the requests of callers. Confined to the event loop. */
public final class GatewayCallerServer implements Service {

    /** Bounds memory; a configuration may set a lower limit. */
    private static final int MAX_HEADER_BYTES = 64 << 10;

    private static final int ACCEPT_BACKLOG = 2048;
    private static final Duration IDLE_CHECK_INTERVAL = Duration.ofSeconds(1);

    /** Connections that are idle this long during a shutdown are closed. */
    private static final Duration SHUTDOWN_IDLE_TIMEOUT = Duration.ofMillis(150);

    /** Responses that were sent at the end of the grace period are written within this time. */
    private static final Duration MIN_CLOSE_TIMEOUT = Duration.ofMillis(100);

    /** The delay is short because another instance takes the request at once. */
    private static final RequestFailure SHUTTING_DOWN =
            RequestFailure.notRun(FailureCode.UNAVAILABLE, "this instance is shutting down")
                    .withRetryAfter(Duration.ofMillis(50));

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final Vertx mVertx;
    private final RuntimeClock mClock;
    private final HostPort mAddress;
    private final FleetView mView;
    private final WireFormat mWire;
    private final RequestResolver mResolver;
    private final CallerHandler mHandler;
    private final CallerConnections mConnections;
    private final RequestBodyReader mBodyReader;
    private final PeriodicTask mIdleCheck;
    private final PendingReads mReads;
    private final InboundProtection mInbound;
    private final InboundSettings mInboundSettings;
    private final AtomicLong mSequence = new AtomicLong();
    private final Set<CallerExchange> mExchanges = new HashSet<>();
    private final FleetWait mFleetWait;
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();
    private Optional<ShutdownAdmission> mShutdown = Optional.empty();
    private boolean mStopping;
    private boolean mIdleClosed;
    private boolean mClosing;
    private HttpServer mServer;

    public GatewayCallerServer(
            Vertx vertx,
            RuntimeClock clock,
            HostPort address,
            FleetView view,
            WireFormat wire,
            RequestResolver resolver,
            BodyAdmission bodies,
            CallerHandler handler,
            InboundProtection inbound,
            InboundSettings inboundSettings) {
        mVertx = vertx;
        mClock = clock;
        mAddress = address;
        mView = view;
        mWire = wire;
        mResolver = resolver;
        mHandler = handler;
        mInbound = inbound;
        mInboundSettings = inboundSettings;
        mConnections = new CallerConnections(clock);
        mBodyReader = new RequestBodyReader(clock, bodies);
        mReads = new PendingReads(clock);
        mFleetWait = new FleetWait(clock, () -> view.configuration().isPresent());
        mIdleCheck = new PeriodicTask(clock, IDLE_CHECK_INTERVAL, this::closeIdle);
    }

    @Override
    public CompletableFuture<Void> start() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_HEADER_BYTES)
                        .setAcceptBacklog(ACCEPT_BACKLOG)
                        .setHandle100ContinueAutomatically(true)
                        .setHttp2ClearTextEnabled(false);
        mServer =
                mInbound.protect(
                                mVertx.createHttpServer(options),
                                inboundLimits(),
                                mConnections::opened)
                        .requestHandler(r -> guarded(r, () -> requestReceived(r)));
        return Futures.toCompletable(
                        mServer.listen(mAddress.port(), mAddress.host()).<Void>mapEmpty())
                .thenCompose(ignored -> mIdleCheck.start());
    }

    /**
     * Closes connections after their responses, so that callers use other instances. Requests that
     * will probably end in time are still served.
     *
     * @param grace time until the process is killed
     */
    public void beginDrain(Duration grace) {
        mShutdown = Optional.of(new ShutdownAdmission(mClock, grace));
        mExchanges.forEach(CallerExchange::closeAfterResponse);
    }

    /**
     * Closes idle connections, and the port and all others after the last response. Completes when
     * no connection is left on which a request could arrive.
     */
    @Override
    public CompletableFuture<Void> stop() {
        if (mShutdown.isEmpty()) {
            beginDrain(Duration.ZERO);
        }
        mShutdown.ifPresent(ShutdownAdmission::balancerHasNoticed);
        mStopping = true;
        CompletableFuture<Void> first = mConnections.closeIdle(SHUTDOWN_IDLE_TIMEOUT);
        // Connections that were in use until now become idle in the meantime.
        mClock.schedule(
                SHUTDOWN_IDLE_TIMEOUT,
                () ->
                        CompletableFuture.allOf(
                                        first, mConnections.closeIdle(SHUTDOWN_IDLE_TIMEOUT))
                                .thenRun(this::idleConnectionsClosed));
        return mClosed;
    }

    private void idleConnectionsClosed() {
        mIdleClosed = true;
        closeAfterLastResponse();
    }

    /** Ends the requests that are left, so that their callers learn whether they may have run. */
    public void endRequests() {
        List.copyOf(mExchanges).forEach(exchange -> exchange.shutDown(SHUTTING_DOWN));
    }

    /** Number of requests without a complete response. */
    public int requestsInFlight() {
        return mExchanges.size();
    }

    private void closeIdle() {
        if (mStopping) {
            mConnections.closeIdle(SHUTDOWN_IDLE_TIMEOUT);
        } else {
            mConnections.limitInForce(limits().idleTimeout());
            mConnections.closeIdle();
        }
    }

    private CallerLimits limits() {
        return mView.configuration().map(GatewayConfiguration::limits).orElse(CallerLimits.DEFAULT);
    }

    private InboundLimits inboundLimits() {
        return new InboundLimits(
                () -> (int) Math.min(limits().maxHeaderBytes(), MAX_HEADER_BYTES),
                mInboundSettings.maxHeaderLines(),
                mInboundSettings.maxLeadingBytes(),
                () -> limits().headerTimeout());
    }

    private void requestReceived(HttpServerRequest request) {
        long arrivalNanos = mClock.nanoTime();
        GatewayCallerHeaders headers = mWire.parseCallerHeaders(request.headers());
        RequestId id =
                new RequestId(
                        headers.requestId().orElseGet(() -> "g-" + mSequence.incrementAndGet()));
        mConnections.requestStarted(request.connection());
        CallerExchange[] holder = new CallerExchange[1];
        CallerExchange exchange = new CallerExchange(request, id, () -> onEnd(holder[0], request));
        holder[0] = exchange;
        mExchanges.add(exchange);
        if (mShutdown.isPresent()) {
            exchange.closeAfterResponse();
        }
        mBodyReader.read(
                request,
                exchange,
                limits(),
                mResolver.rank(mView.configuration(), request, headers),
                body ->
                        mFleetWait.serveWhenLoaded(
                                exchange,
                                () -> serveGuarded(exchange, headers, body, arrivalNanos)));
    }

    /** Closes the connection if the action fails, as no response would follow. */
    private static void guarded(HttpServerRequest request, Runnable action) {
        try {
            action.run();
        } catch (RuntimeException | StackOverflowError e) {
            sLogger.atSevere().withCause(e).log(
                    "a request cannot be handled and its connection is closed");
            request.connection().close();
        }
    }

    /** Answers a request whose handling fails, as no other response would follow. */
    private void serveGuarded(
            CallerExchange exchange, GatewayCallerHeaders headers, Buffer body, long arrivalNanos) {
        try {
            serve(exchange, headers, body, arrivalNanos);
        } catch (RuntimeException | StackOverflowError e) {
            sLogger.atSevere().withCause(e).log(
                    "request %s cannot be handled", exchange.id().value());
            exchange.handlingFailed(
                    RequestFailure.of(
                            FailureCode.UPSTREAM_FAILED,
                            Execution.UNKNOWN,
                            "the request could not be handled"));
        }
    }

    private void onEnd(CallerExchange exchange, HttpServerRequest request) {
        mExchanges.remove(exchange);
        mFleetWait.remove(exchange);
        mConnections.requestEnded(request.connection());
        closeAfterLastResponse();
    }

    private void closeAfterLastResponse() {
        if (mIdleClosed && !mClosing && mExchanges.isEmpty()) {
            mClosing = true;
            mReads.thenRun(this::closeUnlessUsed);
        }
    }

    private void closeUnlessUsed() {
        if (mExchanges.isEmpty()) {
            close();
        } else {
            mClosing = false;
        }
    }

    /** Requests that have been read by now are still served before their connections are closed. */
    private void close() {
        Duration remaining = mShutdown.map(ShutdownAdmission::remaining).orElse(MIN_CLOSE_TIMEOUT);
        long timeoutMillis = Math.max(MIN_CLOSE_TIMEOUT.toMillis(), remaining.toMillis());
        sLogger.atInfo().log("closing the port and the connections of callers");
        Futures.toCompletable(mServer.shutdown(timeoutMillis, TimeUnit.MILLISECONDS))
                .whenComplete(
                        (ignored, failure) -> {
                            sLogger.atInfo().log("all connections of callers are closed");
                            mClosed.complete(null);
                        });
    }

    /** Serves the requests that have waited for the first complete fleet view. */
    public void fleetLoaded() {
        mFleetWait.fleetLoaded();
    }

    /** Applies the limits of a configuration and serves the requests that have waited for one. */
    public void configurationChanged() {
        mConnections.limitInForce(limits().idleTimeout());
        mFleetWait.configurationChanged();
    }

    private void serve(
            CallerExchange exchange, GatewayCallerHeaders headers, Buffer body, long arrivalNanos) {
        GatewayRequest resolved;
        try {
            resolved =
                    mResolver.resolve(
                            mView.configuration(), exchange.request(), headers, body, arrivalNanos);
        } catch (RequestFailure failure) {
            log(exchange, failure);
            exchange.sendFailure(failure);
            return;
        }
        if (mShutdown.filter(shutdown -> !shutdown.canFinishInTime(resolved)).isPresent()) {
            log(exchange, SHUTTING_DOWN);
            exchange.sendFailure(SHUTTING_DOWN);
            return;
        }
        mHandler.serve(exchange, resolved);
    }

    private void log(CallerExchange exchange, RequestFailure failure) {
        sLogger.atInfo()
                .with(LogKeys.REQUEST_ID, exchange.id().value())
                .with(LogKeys.CODE, failure.code().wireName())
                .with(LogKeys.EXECUTION, failure.execution().wireName())
                .log(
                        "request refused under configuration %d: %s",
                        mView.configuration().map(GatewayConfiguration::version).orElse(-1L),
                        failure.getMessage());
    }
}
