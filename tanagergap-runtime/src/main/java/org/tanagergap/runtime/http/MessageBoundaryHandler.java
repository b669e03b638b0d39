package org.tanagergap.runtime.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** Reports where the messages of a connection begin and end, behind the HTTP decoder. */
final class MessageBoundaryHandler extends ChannelDuplexHandler {

    private final InboundHandler mHandler;

    MessageBoundaryHandler(InboundHandler handler) {
        mHandler = handler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request) {
            mHandler.progress().requestStarted(request);
        }
        if (message instanceof HttpContent) {
            mHandler.progress().chunkReceived();
        }
        // Before the message is passed on, as its response may be written meanwhile.
        if (message instanceof LastHttpContent) {
            mHandler.requestReceived();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        boolean informational =
                message instanceof HttpResponse response
                        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (message instanceof LastHttpContent && !informational) {
            ChannelPromise written = promise.unvoid();
            written.addListener(ignored -> mHandler.responseWritten());
            context.write(message, written);
        } else {
            context.write(message, promise);
        }
    }
}
