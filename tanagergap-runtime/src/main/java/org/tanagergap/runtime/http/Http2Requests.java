package org.tanagergap.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http2.Http2ConnectionAdapter;
import io.netty.handler.codec.http2.Http2ConnectionHandler;
import io.netty.handler.codec.http2.Http2Error;
import io.netty.handler.codec.http2.Http2Exception;
import io.netty.handler.codec.http2.Http2FrameListener;
import io.netty.handler.codec.http2.Http2FrameListenerDecorator;
import io.netty.handler.codec.http2.Http2Headers;
import io.netty.handler.codec.http2.Http2Stream;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.tanagergap.decisions.memory.HeadAdmission;

/**
 * Requests on an HTTP/2 connection. Their heads, and bodies and responses if the server keeps them
 * as a whole, are charged until their streams are closed. Streams without memory are refused with
 * {@code REFUSED_STREAM}, which promises that nothing has run. Confined to the event loop.
 */
final class Http2Requests {

    /** Memory of the tables, flow control and buffers of a connection, besides its streams. */
    private static final long CONNECTION_BYTES = 24 << 10;

    /** Time from the head of a call to the end of its message. */
    private static final Duration MESSAGE_TIMEOUT = Duration.ofSeconds(30);

    private final InboundProtection mProtection;
    private final InboundConnection mConnection;
    private final HeadAdmission mHeads;
    private final Optional<CallMemory> mMemory;
    private final Http2ConnectionHandler mCodec;
    private final ChannelHandlerContext mContext;
    private final Map<Integer, Http2Request> mRequests = new HashMap<>();
    private int mIncomplete;

    /**
     * Creates the requests of a connection that has none.
     *
     * @param memory memory of messages and replies; empty if the server charges them itself
     */
    Http2Requests(
            InboundProtection protection,
            InboundConnection connection,
            HeadAdmission heads,
            Optional<CallMemory> memory,
            ChannelPipeline pipeline) {
        mProtection = protection;
        mConnection = connection;
        mHeads = heads;
        mMemory = memory;
        mCodec = pipeline.get(Http2ConnectionHandler.class);
        mContext = pipeline.context(mCodec);
    }

    /** Observes the frames and the streams of the connection. */
    void install() {
        mConnection.onClose(this::connectionClosed);
        mConnection.unread(this::isUnread);
        mConnection.charge(CONNECTION_BYTES);
        mCodec.connection().addListener(new StreamListener());
        mCodec.decoder().frameListener(new FrameListener(mCodec.decoder().frameListener()));
    }

    /** Charges a head; returns false if the stream was refused. */
    private boolean headReceived(int streamId, Http2Headers headers, boolean endOfStream) {
        if (!mRequests.containsKey(streamId) && !add(streamId, headers)) {
            refuse(streamId);
            return false;
        }
        if (endOfStream) {
            completed(streamId);
        }
        return true;
    }

    private boolean add(int streamId, Http2Headers headers) {
        HeadAdmission.Charge head = mHeads.open();
        long cost = cost(headers);
        boolean isSmall = cost <= HeadAdmission.SMALL_HEAD_COST;
        if (!mProtection.admit(mConnection, isSmall, () -> admitsReply() && head.raise(cost))) {
            return false;
        }
        Http2Request request = new Http2Request(mProtection.clock(), head, mMemory);
        if (mMemory.isPresent()) {
            request.ifIncompleteAfter(MESSAGE_TIMEOUT, () -> timedOut(streamId));
        }
        mRequests.put(streamId, request);
        mIncomplete++;
        updateUse();
        return true;
    }

    private boolean admitsReply() {
        return mMemory.map(CallMemory::admitsReply).orElse(true);
    }

    private static long cost(Http2Headers headers) {
        long bytes = 0;
        for (Map.Entry<CharSequence, CharSequence> field : headers) {
            bytes += field.getKey().length() + field.getValue().length();
        }
        return HeadAdmission.cost(bytes, headers.size());
    }

    /** Charges a part of a body; returns false if the stream was refused. */
    private boolean dataReceived(int streamId, int bytes, boolean endOfStream) {
        Http2Request request = mRequests.get(streamId);
        if (request != null && !reserve(request, bytes)) {
            refuse(streamId);
            return false;
        }
        if (endOfStream) {
            completed(streamId);
        }
        return true;
    }

    private boolean reserve(Http2Request request, int bytes) {
        request.receive(bytes);
        return mProtection.admit(mConnection, request.isShort(), request::reserve);
    }

    private void refuse(int streamId) {
        mProtection.refused(InboundRefusal.NO_MEMORY);
        reset(streamId, Http2Error.REFUSED_STREAM);
    }

    private void reset(int streamId, Http2Error error) {
        mCodec.resetStream(mContext, streamId, error.code(), mContext.newPromise());
        mContext.flush();
    }

    /** The end of the message may have arrived and be unread. */
    private void timedOut(int streamId) {
        mProtection.reads().thenRun(() -> mContext.executor().execute(() -> resetLate(streamId)));
    }

    private void resetLate(int streamId) {
        Http2Request request = mRequests.get(streamId);
        if (request != null && !request.isComplete()) {
            mProtection.refused(InboundRefusal.MESSAGE_TOO_LATE);
            reset(streamId, Http2Error.CANCEL);
        }
    }

    private void completed(int streamId) {
        Http2Request request = mRequests.get(streamId);
        if (request != null && !request.isComplete()) {
            request.complete();
            mIncomplete--;
            updateUse();
        }
    }

    private void closed(int streamId) {
        completed(streamId);
        Http2Request request = mRequests.remove(streamId);
        if (request != null) {
            request.close();
            updateUse();
        }
    }

    /** Releases the memory at once; the streams are closed a little later. */
    private void connectionClosed() {
        mRequests.values().forEach(Http2Request::close);
        mRequests.clear();
    }

    /** Returns true if all streams wait for the client: to send its request, or to read. */
    private boolean isUnread() {
        return mRequests.entrySet().stream()
                .allMatch(entry -> !entry.getValue().isComplete() || isUnread(entry.getKey()));
    }

    /** Returns true if a response has begun and the client's window does not let it continue. */
    private boolean isUnread(int streamId) {
        Http2Stream stream = mCodec.connection().stream(streamId);
        return stream != null
                && stream.isHeadersSent()
                && !mCodec.encoder().flowController().isWritable(stream);
    }

    private void updateUse() {
        if (mRequests.isEmpty()) {
            mConnection.use(InboundConnection.Use.IDLE);
        } else if (mIncomplete == mRequests.size()) {
            mConnection.use(InboundConnection.Use.RECEIVING);
        } else {
            mConnection.use(InboundConnection.Use.RESPONDING);
        }
    }

    private final class StreamListener extends Http2ConnectionAdapter {

        @Override
        public void onStreamClosed(Http2Stream stream) {
            closed(stream.id());
        }
    }

    private final class FrameListener extends Http2FrameListenerDecorator {

        FrameListener(Http2FrameListener listener) {
            super(listener);
        }

        @Override
        public void onHeadersRead(
                ChannelHandlerContext context,
                int streamId,
                Http2Headers headers,
                int padding,
                boolean endOfStream)
                throws Http2Exception {
            if (headReceived(streamId, headers, endOfStream)) {
                super.onHeadersRead(context, streamId, headers, padding, endOfStream);
            }
        }

        @Override
        public void onHeadersRead(
                ChannelHandlerContext context,
                int streamId,
                Http2Headers headers,
                int streamDependency,
                short weight,
                boolean exclusive,
                int padding,
                boolean endOfStream)
                throws Http2Exception {
            if (headReceived(streamId, headers, endOfStream)) {
                super.onHeadersRead(
                        context,
                        streamId,
                        headers,
                        streamDependency,
                        weight,
                        exclusive,
                        padding,
                        endOfStream);
            }
        }

        @Override
        public int onDataRead(
                ChannelHandlerContext context,
                int streamId,
                ByteBuf data,
                int padding,
                boolean endOfStream)
                throws Http2Exception {
            if (dataReceived(streamId, data.readableBytes(), endOfStream)) {
                return super.onDataRead(context, streamId, data, padding, endOfStream);
            }
            return data.readableBytes() + padding;
        }
    }
}
