package org.tanagergap.runtime.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;

/** Closes the connection of a refused client, so that it receives the refusal. */
final class ConnectionCloser {

    /** Time for reading what the client still sends; unread bytes would reset the connection. */
    private static final Duration CLOSE_DELAY = Duration.ofSeconds(1);

    private final RuntimeClock mClock;
    private Timer mTimer = () -> {};

    ConnectionCloser(RuntimeClock clock) {
        mClock = clock;
    }

    /** Sends the response, if there is one, and closes the connection. */
    void close(ChannelHandlerContext context, String response) {
        if (response.isEmpty()) {
            context.close();
            return;
        }
        context.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
        mTimer = mClock.schedule(CLOSE_DELAY, context::close);
    }

    /** Records that the connection is closed; the timer would keep it in memory. */
    void closed() {
        mTimer.cancel();
    }
}
