package org.tanagergap.runtime.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Discards informational responses. The HTTP client of Vert.x takes those other than 100 and 103 as
 * the final response. 101 is passed on, as what follows it is not HTTP.
 */
final class InformationalResponseFilter extends ChannelInboundHandlerAdapter {

    /** Without a limit, an upstream that sends nothing else is read until its caller gives up. */
    private static final int MAX_RESPONSES = 64;

    private boolean mDiscarding;
    private int mDiscarded;
    private boolean mRejected;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpResponse response) {
            HttpResponseStatus status = response.status();
            mDiscarding =
                    status.codeClass() == HttpStatusClass.INFORMATIONAL
                            && status.code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
            mDiscarded += mDiscarding ? 1 : 0;
        }
        if (mDiscarded > MAX_RESPONSES) {
            ReferenceCountUtil.release(message);
            reject(context);
            return;
        }
        if (!mDiscarding) {
            context.fireChannelRead(message);
            return;
        }
        if (message instanceof LastHttpContent) {
            mDiscarding = false;
        }
        ReferenceCountUtil.release(message);
    }

    private void reject(ChannelHandlerContext context) {
        if (!mRejected) {
            mRejected = true;
            context.fireExceptionCaught(
                    new InvalidResponseException(
                            "more than " + MAX_RESPONSES + " informational responses"));
            context.close();
        }
    }
}
