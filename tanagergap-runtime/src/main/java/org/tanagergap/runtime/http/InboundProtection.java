package org.tanagergap.runtime.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.Handler;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.impl.VertxConnection;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.memory.HeadAdmission;
import org.tanagergap.runtime.metrics.MetricName;
import org.tanagergap.runtime.time.PendingReads;

/**
 * Protects the memory and the descriptors of a process against clients that keep to no limit. All
 * HTTP/1.1 servers of the process share one instance. Confined to the event loop.
 */
public final class InboundProtection {

    private static final Duration LOG_INTERVAL = Duration.ofSeconds(1);

    /** Part of the connections by which those that are about to be closed may exceed the limit. */
    private static final int ACCEPT_SLACK_DIVISOR = 8;

    private static final Duration RESUME_DELAY = Duration.ofMillis(1);

    /** Time for pipelined requests in a pass of the event loop. */
    private static final Duration RESUME_TIME = Duration.ofMillis(5);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final PendingReads mReads;
    private final HeadAdmission mHeads;
    private final int mMaxConnections;
    private final AcceptLimit mAcceptLimit;
    private final Map<InboundRefusal, Counter> mRefusals = new EnumMap<>(InboundRefusal.class);
    private final Map<InboundRefusal, Long> mLoggedNanos = new EnumMap<>(InboundRefusal.class);
    private final Set<InboundHandler> mIdle = new LinkedHashSet<>();
    private final Deque<InboundHandler> mWaiting = new ArrayDeque<>();
    private boolean mResuming;
    private int mConnections;

    /** Creates a protection without connections. */
    public InboundProtection(
            RuntimeClock clock, HeadAdmission heads, int maxConnections, MetricRegistry metrics) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mReads = new PendingReads(clock);
        mHeads = Objects.requireNonNull(heads, "heads must not be null");
        mMaxConnections = maxConnections;
        mAcceptLimit = new AcceptLimit(maxConnections + maxConnections / ACCEPT_SLACK_DIVISOR);
        // A class cannot be loaded from its file when all descriptors are in use.
        for (InboundRefusal refusal : InboundRefusal.values()) {
            String name = MetricName.of("inbound_refusals", "reason", refusal.label());
            mRefusals.put(refusal, metrics.counter(name));
        }
        metrics.register("inbound_head_bytes", (Gauge<Long>) heads::usedBytes);
        metrics.register("inbound_connections", (Gauge<Integer>) () -> mConnections);
    }

    /**
     * Protects the connections of a server that speaks HTTP/1.1 only.
     *
     * @param opened is told of each connection
     */
    public HttpServer protect(
            HttpServer server, InboundLimits limits, Handler<HttpConnection> opened) {
        return server.connectionHandler(
                connection -> {
                    opened.handle(connection);
                    install(((VertxConnection) connection).channelHandlerContext(), limits);
                });
    }

    /** Protects the connections of a server that speaks HTTP/1.1 only. */
    public HttpServer protect(HttpServer server, InboundLimits limits) {
        return protect(server, limits, ignored -> {});
    }

    private void install(ChannelHandlerContext connection, InboundLimits limits) {
        ChannelPipeline pipeline = connection.pipeline();
        InboundHandler handler = new InboundHandler(this, limits, mHeads.open());
        pipeline.addFirst("inbound-limits", handler);
        Channel server = pipeline.channel().parent();
        if (server != null && server.pipeline().get(AcceptLimit.NAME) == null) {
            server.pipeline().addFirst(AcceptLimit.NAME, mAcceptLimit);
        }
        pipeline.addBefore(
                connection.name(), "inbound-messages", new MessageBoundaryHandler(handler));
        mConnections++;
        mIdle.add(handler);
        pipeline.channel().closeFuture().addListener(ignored -> closed(handler));
        if (mConnections > mMaxConnections) {
            InboundHandler victim = mIdle.iterator().next();
            mIdle.remove(victim);
            victim.refuse(InboundRefusal.TOO_MANY_CONNECTIONS);
        }
    }

    private void closed(InboundHandler handler) {
        mConnections--;
        mIdle.remove(handler);
        handler.closed();
    }

    RuntimeClock clock() {
        return mClock;
    }

    PendingReads reads() {
        return mReads;
    }

    /** Records that a connection waits for a request, in the order in which it may be closed. */
    void idle(InboundHandler handler) {
        mIdle.add(handler);
    }

    /**
     * Lets a connection on which further requests wait pass on the next one. Other connections are
     * read in between: pipelined requests alone could keep the event loop from them for seconds.
     */
    void resumeLater(InboundHandler handler) {
        mWaiting.add(handler);
        if (!mResuming) {
            mResuming = true;
            mClock.schedule(RESUME_DELAY, () -> handler.onEventLoop(this::resumeSome));
        }
    }

    private void resumeSome() {
        long endNanos = mClock.nanoTime() + RESUME_TIME.toNanos();
        int waiting = mWaiting.size();
        mResuming = false;
        for (int i = 0; i < waiting && mClock.nanoTime() < endNanos; i++) {
            mWaiting.remove().resume();
        }
        if (!mResuming && !mWaiting.isEmpty()) {
            resumeLater(mWaiting.remove());
        }
    }

    void inUse(InboundHandler handler) {
        mIdle.remove(handler);
    }

    void refused(InboundRefusal refusal) {
        mRefusals.get(refusal).inc();
        long now = mClock.nanoTime();
        Long logged = mLoggedNanos.get(refusal);
        if (logged == null || now - logged >= LOG_INTERVAL.toNanos()) {
            mLoggedNanos.put(refusal, now);
            sLogger.atInfo().log(
                    "connection of a client refused: %s; %d connections, %d bytes of heads",
                    refusal.label(), mConnections, mHeads.usedBytes());
        }
    }
}
