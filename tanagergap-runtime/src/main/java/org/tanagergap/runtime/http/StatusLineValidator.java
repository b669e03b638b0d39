package org.tanagergap.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Pattern;

/**
 * Closes a connection on which a response begins whose status does not have three digits. The HTTP
 * decoder parses the status as a number, so that 0200 and +200 cannot be told from 200 later.
 *
 * <p>Checks the first response of a connection and the informational ones before it, as upstreams
 * are called on one connection for each request.
 */
final class StatusLineValidator extends ChannelInboundHandlerAdapter {

    private static final Pattern STATUS = Pattern.compile("HTTP/[0-9]\\.[0-9] +[0-9]{3}( .*)?");
    private static final Pattern INFORMATIONAL = Pattern.compile("HTTP/[0-9.]+ +1.*");

    /** Enough for the version and the status; the decoder limits the length of the line. */
    private static final int MAX_KEPT = 64;

    private final StringBuilder mLine = new StringBuilder();
    private State mState = State.STATUS_LINE;

    private enum State {
        STATUS_LINE,
        /** In the headers of an informational response. */
        HEADERS,
        VALID,
        INVALID
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mState == State.INVALID) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (mState != State.VALID && message instanceof ByteBuf bytes) {
            bytes.forEachByte(this::accept);
        }
        if (mState == State.INVALID) {
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(
                    new InvalidResponseException("its status does not have three digits"));
            context.close();
        } else {
            context.fireChannelRead(message);
        }
    }

    /** Returns true if more bytes are to be checked. */
    private boolean accept(byte value) {
        if (value != '\n') {
            if (value != '\r' && mLine.length() < MAX_KEPT) {
                mLine.append((char) (value & 0xff));
            }
            return true;
        }
        String line = mLine.toString();
        mLine.setLength(0);
        if (mState == State.HEADERS) {
            mState = line.isEmpty() ? State.STATUS_LINE : State.HEADERS;
        } else if (!line.isEmpty()) {
            mState = next(line);
        }
        return mState == State.STATUS_LINE || mState == State.HEADERS;
    }

    private static State next(String statusLine) {
        if (!STATUS.matcher(statusLine).matches()) {
            return State.INVALID;
        }
        return INFORMATIONAL.matcher(statusLine).matches() ? State.HEADERS : State.VALID;
    }
}
