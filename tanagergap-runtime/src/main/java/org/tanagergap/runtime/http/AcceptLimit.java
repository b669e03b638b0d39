package org.tanagergap.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Closes connections at once that are accepted faster than the event loop can close others. Without
 * it, a burst of connections takes all descriptors before the event loop sees the first of them.
 * Runs on the thread that accepts connections.
 */
@ChannelHandler.Sharable
final class AcceptLimit extends ChannelInboundHandlerAdapter {

    static final String NAME = "accept-limit";

    private final AtomicInteger mOpen = new AtomicInteger();
    private final int mMaxOpen;

    AcceptLimit(int maxOpen) {
        mMaxOpen = maxOpen;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Channel connection) {
            if (mOpen.incrementAndGet() > mMaxOpen) {
                mOpen.decrementAndGet();
                connection.unsafe().closeForcibly();
                return;
            }
            connection.closeFuture().addListener(ignored -> mOpen.decrementAndGet());
        }
        context.fireChannelRead(message);
    }
}
