package org.tanagergap.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.memory.HeadAdmission;

/**
 * Passes the bytes of a connection to the HTTP decoder. A head is passed on as a whole when there
 * is memory for it, and the bytes after a request only when its response is written, so that the
 * requests of a client that does not read its responses are not kept in memory.
 */
final class InboundHandler extends ChannelDuplexHandler {

    private static final int MIN_READ_BYTES = 512;

    private static final int FIRST_READ_BYTES = 2 << 10;
    private static final int MAX_READ_BYTES = 16 << 10;

    /** Bytes of a body of unknown length: a slice may contain the requests that follow it. */
    private static final int BODY_SLICE_BYTES = 1 << 10;

    /** Some clients send an empty line after a body and then no request for a long time. */
    private static final int EMPTY_LINE_BYTES = 2;

    /** Time for reading what a refused client still sends, so that it receives the refusal. */
    private static final Duration CLOSE_DELAY = Duration.ofSeconds(1);

    private static final Timer NO_TIMER = () -> {};

    private final InboundProtection mProtection;
    private final InboundLimits mLimits;
    private final HeadAdmission.Charge mCharge;
    private final HeadScanner mScanner = new HeadScanner();
    private ChannelHandlerContext mContext;
    private Optional<ByteBuf> mHeld = Optional.empty();
    private Timer mTimer = NO_TIMER;
    private int mScannedBytes;
    private int mUnansweredRequests;
    private long mCompletedHeads;
    private long mDecoded;
    private long mBodyBytesLeft;
    private boolean mReceiving;
    private boolean mProcessing;
    private boolean mReadRequested;
    private boolean mRefused;

    InboundHandler(
            InboundProtection protection, InboundLimits limits, HeadAdmission.Charge charge) {
        mProtection = protection;
        mLimits = limits;
        mCharge = charge;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mContext = context;
        AdaptiveRecvByteBufAllocator reads =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
        // Bytes that are read while a response is due stay in memory, so each pass reads once.
        reads.maxMessagesPerRead(1);
        context.channel().config().setRecvByteBufAllocator(reads);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            context.fireChannelRead(message);
        } else if (mRefused) {
            bytes.release();
        } else {
            mHeld =
                    Optional.of(
                            ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(
                                    context.alloc(), mHeld.orElse(Unpooled.EMPTY_BUFFER), bytes));
            process();
            if (isHolding() && isAwaitingResponse() && !mCharge.add(mHeld.get().capacity())) {
                refuse(InboundRefusal.NO_MEMORY);
            }
        }
    }

    /** Holds reads back while bytes wait for a response; otherwise a disconnect would be missed. */
    @Override
    public void read(ChannelHandlerContext context) {
        if (isHolding()) {
            mReadRequested = true;
        } else {
            context.read();
        }
    }

    /** Returns true if there are bytes that cannot be passed on yet; an incomplete head is none. */
    private boolean isHolding() {
        return mHeld.isPresent() && mScannedBytes == 0;
    }

    private boolean isAwaitingResponse() {
        return mUnansweredRequests > 0 && !mReceiving;
    }

    private void process() {
        if (mProcessing) {
            return;
        }
        mProcessing = true;
        try {
            long first = mDecoded;
            while (mHeld.isPresent() && !isAwaitingResponse()) {
                boolean passed = mReceiving ? passBody(mHeld.get()) : passHead(mHeld.get());
                if (!passed || mDecoded > first && !mReceiving) {
                    break;
                }
            }
        } finally {
            mProcessing = false;
        }
        if (isHolding()) {
            if (!isAwaitingResponse()) {
                mProtection.resumeLater(this);
            }
        } else if (mReadRequested) {
            mReadRequested = false;
            mContext.read();
        }
    }

    private boolean passBody(ByteBuf held) {
        long slice = mBodyBytesLeft > 0 ? mBodyBytesLeft : BODY_SLICE_BYTES;
        int length = (int) Math.min(slice, held.readableBytes());
        mBodyBytesLeft -= Math.min(mBodyBytesLeft, length);
        pass(held, length);
        return true;
    }

    /** Returns false if the head is incomplete or refused. */
    private boolean passHead(ByteBuf held) {
        int unscanned = held.readableBytes() - mScannedBytes;
        int end = mScanner.scan(held, held.readerIndex() + mScannedBytes, unscanned);
        Optional<InboundRefusal> refusal = limitExceeded(held, end >= 0);
        if (refusal.isPresent()) {
            refuse(refusal.get());
            return false;
        }
        if (end < 0) {
            mScannedBytes += unscanned;
            awaitHead(held);
            return false;
        }
        int length = mScannedBytes + end;
        endHead();
        mProtection.inUse(this);
        long before = mDecoded;
        pass(held, length);
        if (mDecoded == before) {
            // The decoder reads the end of lines differently; what it keeps is not charged.
            refuse(InboundRefusal.MALFORMED_HEAD);
        }
        return !mRefused;
    }

    private Optional<InboundRefusal> limitExceeded(ByteBuf held, boolean complete) {
        if (mScanner.leadingBytes() > mLimits.maxLeadingBytes()) {
            return Optional.of(InboundRefusal.TOO_MANY_LEADING_BYTES);
        }
        if (mScanner.bytes() > mLimits.maxHeadBytes()) {
            return Optional.of(InboundRefusal.HEAD_TOO_LONG);
        }
        if (mScanner.lines() > mLimits.maxHeadLines()) {
            return Optional.of(InboundRefusal.TOO_MANY_LINES);
        }
        if (!mScanner.hasStarted()) {
            return Optional.empty();
        }
        long cost =
                complete ? HeadAdmission.cost(mScanner.bytes(), mScanner.lines()) : held.capacity();
        return mCharge.raise(cost) ? Optional.empty() : Optional.of(InboundRefusal.NO_MEMORY);
    }

    private void awaitHead(ByteBuf held) {
        if (mScanner.hasStarted()) {
            mProtection.inUse(this);
        } else {
            // The decoder would skip these bytes.
            held.skipBytes(held.readableBytes());
            mScannedBytes = 0;
            releaseIfEmpty(held);
        }
        boolean timed = mScanner.hasStarted() || mScanner.leadingBytes() > EMPTY_LINE_BYTES;
        if (timed && mTimer == NO_TIMER) {
            long head = mCompletedHeads;
            mTimer =
                    mProtection
                            .clock()
                            .schedule(mLimits.headTimeout().get(), () -> timeoutExpired(head));
        }
    }

    /** The end of the head may have arrived and be unread. */
    private void timeoutExpired(long head) {
        mProtection.reads().thenRun(() -> onEventLoop(() -> headTooLate(head)));
    }

    /** Runs the task where the connection is confined to, also if there are more event loops. */
    void onEventLoop(Runnable task) {
        mContext.executor().execute(task);
    }

    private void headTooLate(long head) {
        if (head == mCompletedHeads) {
            refuse(
                    mScanner.hasStarted()
                            ? InboundRefusal.HEAD_TOO_LATE
                            : InboundRefusal.LEADING_BYTES_TOO_LATE);
        }
    }

    private void endHead() {
        mCompletedHeads++;
        mTimer.cancel();
        mTimer = NO_TIMER;
        mScanner.reset();
        mScannedBytes = 0;
    }

    private void pass(ByteBuf held, int length) {
        ByteBuf slice = held.readRetainedSlice(length);
        releaseIfEmpty(held);
        mContext.fireChannelRead(slice);
    }

    private void releaseIfEmpty(ByteBuf held) {
        if (!held.isReadable()) {
            held.release();
            mHeld = Optional.empty();
        }
    }

    /** Records that the decoder has found a request, whose body follows. */
    void requestStarted(HttpRequest request) {
        mUnansweredRequests++;
        mDecoded++;
        mReceiving = true;
        boolean lengthKnown =
                request.decoderResult().isSuccess() && !HttpUtil.isTransferEncodingChunked(request);
        mBodyBytesLeft = lengthKnown ? HttpUtil.getContentLength(request, 0L) : 0;
    }

    /** Records that a request is complete. */
    void requestReceived() {
        mReceiving = false;
        endIfIdle();
    }

    /** Records that a response is written, or that the connection has failed. */
    void responseWritten() {
        mUnansweredRequests--;
        endIfIdle();
    }

    private void endIfIdle() {
        if (mUnansweredRequests > 0 || mReceiving || mRefused) {
            return;
        }
        mCharge.release();
        if (mHeld.isEmpty()) {
            mProtection.idle(this);
        } else if (!mProcessing) {
            mProtection.resumeLater(this);
        }
    }

    /** Passes on the next of the requests that wait. */
    void resume() {
        if (mContext.isRemoved() || mRefused) {
            return;
        }
        process();
        mContext.fireChannelReadComplete();
    }

    /** Answers that nothing has run if no other response is due, and closes the connection. */
    void refuse(InboundRefusal refusal) {
        if (mRefused) {
            return;
        }
        mRefused = true;
        mProtection.refused(refusal);
        release();
        String response = refusal.response();
        if (response.isEmpty() || mUnansweredRequests > 0) {
            mContext.close();
            return;
        }
        mContext.writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
        mProtection.clock().schedule(CLOSE_DELAY, mContext::close);
    }

    /** Records that the connection is closed. */
    void closed() {
        mRefused = true;
        release();
    }

    private void release() {
        mProtection.inUse(this);
        endHead();
        mCharge.release();
        mHeld.ifPresent(ByteBuf::release);
        mHeld = Optional.empty();
    }
}
