package org.tanagergap.runtime.http;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.net.impl.VertxConnection;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.memory.ConnectionAdmission;
import org.tanagergap.decisions.memory.HeadAdmission;
import org.tanagergap.runtime.time.PendingReads;

/**
 * Protects the memory and the descriptors of a process against clients that keep to no limit. All
 * servers of the process share one instance and one event loop, to which it is confined.
 */
public final class InboundProtection {

    /** Part of the connections by which those that are about to be closed may exceed the limit. */
    private static final int ACCEPT_SLACK_DIVISOR = 8;

    private static final int MIN_ACCEPT_SLACK = 16;

    /** An ordinary connection without a complete request occupies about as much as a small head. */
    private static final int MAX_EVICTIONS = 8;

    /** Name that Vert.x gives to the handler that decodes HTTP/1.1. */
    private static final String DECODER = "httpDecoder";

    private static final String HANDLER = "inbound-limits";

    private final RuntimeClock mClock;
    private final PendingReads mReads;
    private final HeadAdmission mHeads;
    private final InboundRefusals mRefusals;
    private final ConnectionTable mConnections;
    private final ResumeQueue mResumes;

    /** Creates a protection without connections. */
    public InboundProtection(
            RuntimeClock clock,
            AcceptedConnections accepted,
            ConnectionAdmission connections,
            HeadAdmission heads,
            MetricRegistry metrics) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mReads = new PendingReads(clock);
        mHeads = Objects.requireNonNull(heads, "heads must not be null");
        mRefusals = new InboundRefusals(metrics);
        mConnections = new ConnectionTable(connections, this::tooManyConnections);
        mResumes = new ResumeQueue(clock);
        metrics.register("inbound_head_bytes", (Gauge<Long>) heads::usedBytes);
        metrics.register("inbound_connections", (Gauge<Integer>) mConnections::size);
        int max = connections.maxConnections();
        accepted.limit(
                max + Math.max(MIN_ACCEPT_SLACK, max / ACCEPT_SLACK_DIVISOR), new AcceptListener());
    }

    /**
     * Protects the connections of a server. The memory of bodies is left to its handler.
     *
     * @param opened is told of each connection
     */
    public HttpServer protect(
            HttpServer server, InboundLimits limits, Handler<HttpConnection> opened) {
        return protect(server, limits, opened, Optional.empty());
    }

    /** Protects the connections of a server. The memory of bodies is left to its handler. */
    public HttpServer protect(HttpServer server, InboundLimits limits) {
        return protect(server, limits, ignored -> {});
    }

    /**
     * Protects the connections of a server of gRPC calls, which keeps each message as a whole. Its
     * requests are passed through {@link Http2Only}.
     *
     * @param memory memory of messages and replies
     */
    public HttpServer protectCalls(HttpServer server, InboundLimits limits, CallMemory memory) {
        return protect(server, limits, ignored -> {}, Optional.of(memory));
    }

    private HttpServer protect(
            HttpServer server,
            InboundLimits limits,
            Handler<HttpConnection> opened,
            Optional<CallMemory> memory) {
        return server.connectionHandler(
                connection -> {
                    opened.handle(connection);
                    ChannelHandlerContext context =
                            ((HttpServerConnection) connection).channelHandlerContext();
                    if (connection instanceof VertxConnection) {
                        installHttp1(context, limits);
                    } else {
                        installHttp2(context, memory);
                    }
                });
    }

    private void installHttp1(ChannelHandlerContext context, InboundLimits limits) {
        ChannelPipeline pipeline = context.pipeline();
        InboundHandler handler = pipeline.get(InboundHandler.class);
        if (handler == null) {
            handler = newHandler(InboundConnection.of(context.channel(), this));
            pipeline.addBefore(DECODER, HANDLER, handler);
        }
        handler.limits(limits);
        pipeline.addBefore(context.name(), "inbound-messages", new MessageBoundaryHandler(handler));
    }

    private void installHttp2(ChannelHandlerContext context, Optional<CallMemory> memory) {
        ChannelPipeline pipeline = context.pipeline();
        InboundConnection connection = InboundConnection.of(context.channel(), this);
        new Http2Requests(this, connection, mHeads, memory, pipeline).install();
    }

    private InboundHandler newHandler(InboundConnection connection) {
        InboundHandler handler =
                new InboundHandler(this, connection, InboundLimits.INTERNAL, mHeads.open());
        connection.onClose(handler::closed);
        return handler;
    }

    private final class AcceptListener implements AcceptedConnections.Listener {

        @Override
        public void accepted(Channel channel, boolean encrypted) {
            InboundConnection connection = InboundConnection.add(channel, InboundProtection.this);
            if (!encrypted) {
                channel.pipeline().addLast(HANDLER, newHandler(connection));
            }
        }

        @Override
        public void rejected() {
            tooManyConnections();
        }
    }

    /**
     * Holds back what arrives of the body of a request, so that none of it is in memory. It has no
     * effect on connections that are not protected.
     */
    public static void pauseBody(HttpServerRequest request) {
        handler(request, InboundHandler.class).ifPresent(InboundHandler::pauseBody);
    }

    /** Passes on the body of a request that was held back. */
    public static void resumeBody(HttpServerRequest request) {
        handler(request, InboundHandler.class).ifPresent(InboundHandler::resumeBody);
    }

    /**
     * Closes the connection of a request after the time, unless it ends before or the timer is
     * cancelled. A protected connection has one such timer.
     */
    public static Timer closeAfter(HttpServerRequest request, Duration time) {
        HttpConnection connection = request.connection();
        return handler(request, InboundConnection.class)
                .map(inbound -> inbound.closeAfter(time, connection::close))
                .orElse(() -> {});
    }

    private static <T extends ChannelHandler> Optional<T> handler(
            HttpServerRequest request, Class<T> type) {
        ChannelHandlerContext context =
                ((HttpServerConnection) request.connection()).channelHandlerContext();
        return Optional.ofNullable(context.pipeline().get(type));
    }

    /** Charges the memory of a head. */
    boolean admit(InboundConnection connection, HeadAdmission.Charge charge, long cost) {
        boolean isSmall = cost <= HeadAdmission.SMALL_HEAD_COST;
        return admit(connection, isSmall, () -> charge.raise(cost));
    }

    /**
     * Reserves memory. While there is none, the connections that have been without a complete
     * request longest, and then those whose responses are not read, give way to what is small, so
     * that ordinary clients are served beside many that do not complete their requests.
     */
    boolean admit(InboundConnection connection, boolean isSmall, BooleanSupplier reservation) {
        boolean admitted = reservation.getAsBoolean();
        int evictions = isSmall ? MAX_EVICTIONS : 0;
        while (!admitted && evictions > 0 && mConnections.evictStalled(connection)) {
            evictions--;
            admitted = reservation.getAsBoolean();
        }
        return admitted;
    }

    private void tooManyConnections() {
        mRefusals.add(InboundRefusal.TOO_MANY_CONNECTIONS);
    }

    ConnectionAdmission.Charge opened(InboundConnection connection) {
        return mConnections.add(connection);
    }

    /** Closes connections if one occupies more memory than before. */
    void charged(InboundConnection connection) {
        mConnections.evictSurplus(connection);
    }

    void useChanged(InboundConnection connection) {
        mConnections.useChanged(connection);
    }

    void closed(InboundConnection connection) {
        mConnections.remove(connection);
    }

    RuntimeClock clock() {
        return mClock;
    }

    PendingReads reads() {
        return mReads;
    }

    ResumeQueue resumes() {
        return mResumes;
    }

    void refused(InboundRefusal refusal) {
        mRefusals.add(refusal);
    }
}
