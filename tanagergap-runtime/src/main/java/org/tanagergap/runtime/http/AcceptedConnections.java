package org.tanagergap.runtime.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.transport.Transport;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Connections that the servers of a process have accepted and that are open. Those beyond a limit
 * are closed at once: a burst of connections would otherwise take all descriptors before an event
 * loop sees the first of them. Thread-safe.
 */
public final class AcceptedConnections {

    private final AtomicInteger mOpen = new AtomicInteger();
    private volatile int mMaxOpen = Integer.MAX_VALUE;
    private volatile Optional<Listener> mListener = Optional.empty();

    /** Is told of connections, on the threads that accept them. */
    interface Listener {

        /**
         * A connection is open and has not been read.
         *
         * @param encrypted whether its bytes are those of TLS
         */
        void accepted(Channel connection, boolean encrypted);

        /** A connection beyond the limit was closed. */
        void rejected();
    }

    /** Returns a transport whose servers count their connections, from the first one on. */
    public Transport transport() {
        return new CountingTransport();
    }

    /** Limits the connections that are open at the same time. */
    void limit(int maxOpen, Listener listener) {
        mListener = Optional.of(listener);
        mMaxOpen = maxOpen;
    }

    private boolean accept(Channel connection, boolean encrypted) {
        if (mOpen.incrementAndGet() > mMaxOpen) {
            mOpen.decrementAndGet();
            connection.unsafe().closeForcibly();
            mListener.ifPresent(Listener::rejected);
            return false;
        }
        connection.closeFuture().addListener(ignored -> mOpen.decrementAndGet());
        mListener.ifPresent(listener -> listener.accepted(connection, encrypted));
        return true;
    }

    /** Runs on the thread that accepts connections. */
    @ChannelHandler.Sharable
    private final class AcceptHandler extends ChannelInboundHandlerAdapter {

        private final boolean mEncrypted;

        AcceptHandler(boolean encrypted) {
            mEncrypted = encrypted;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!(message instanceof Channel connection) || accept(connection, mEncrypted)) {
                context.fireChannelRead(message);
            }
        }
    }

    private final class CountingTransport implements Transport {

        @Override
        public String name() {
            return "counting-nio";
        }

        @Override
        public boolean available() {
            return true;
        }

        @Override
        public Throwable unavailabilityCause() {
            return null;
        }

        @Override
        public io.vertx.core.spi.transport.Transport implementation() {
            return new NioTransport() {
                @Override
                public void configure(
                        NetServerOptions options, boolean domainSocket, ServerBootstrap server) {
                    super.configure(options, domainSocket, server);
                    server.handler(new AcceptHandler(options.isSsl()));
                }
            };
        }
    }
}
