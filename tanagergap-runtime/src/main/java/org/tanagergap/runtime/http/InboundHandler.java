package org.tanagergap.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import java.util.Optional;
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

    /** Each chunk of a body is an event of the server, also if it has a single byte. */
    private static final int MAX_CHUNKS_PER_PASS = 256;

    private final InboundProtection mProtection;
    private final InboundConnection mConnection;
    private final HeadAdmission.Charge mCharge;
    private final ReadGate mReads = new ReadGate();
    private final HeldBytes mHeld = new HeldBytes();
    private final ConnectionCloser mCloser;
    private final HeadReader mHead;
    private final HeadTimer mHeadTimer;
    private final RequestProgress mProgress = new RequestProgress();
    private ChannelHandlerContext mContext;
    private long mHeadCost;
    private boolean mProcessing;
    private boolean mResuming;
    private boolean mBodyPaused;
    private boolean mRefused;

    InboundHandler(
            InboundProtection protection,
            InboundConnection connection,
            InboundLimits limits,
            HeadAdmission.Charge charge) {
        mProtection = protection;
        mConnection = connection;
        mCharge = charge;
        mCloser = new ConnectionCloser(protection.clock());
        mHead = new HeadReader(limits);
        mHeadTimer =
                new HeadTimer(
                        protection.clock(),
                        protection.reads(),
                        this::onEventLoop,
                        this::headTooLate);
    }

    /** Sets the limits of the server, which is known when it has set up the connection. */
    void limits(InboundLimits limits) {
        mHead.limits(limits);
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
            mHeld.add(context.alloc(), bytes);
            process();
            if (isHolding()) {
                chargeHeld();
            }
        }
    }

    /** Passes everything on, because the connection speaks HTTP/2 from now on. */
    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        Optional<ByteBuf> held = mHeld.takeAll();
        release();
        held.ifPresent(context::fireChannelRead);
    }

    @Override
    public void read(ChannelHandlerContext context) {
        if (mayRead()) {
            context.read();
        } else {
            mReads.suspend(mContext.channel());
        }
    }

    /** Returns false while received bytes wait; any other read may show that the client is gone. */
    private boolean mayRead() {
        return !isHolding() && !isBodyPaused();
    }

    private void resumeReads() {
        if (mayRead()) {
            mReads.resume(mContext.channel());
        }
    }

    /** Returns true if there are bytes that cannot be passed on yet; an incomplete head is none. */
    private boolean isHolding() {
        return !mHeld.isEmpty() && !mHead.isWithinHead();
    }

    private void process() {
        if (mProcessing) {
            return;
        }
        mProcessing = true;
        try {
            long requests = mProgress.requests();
            long maxChunks = mProgress.chunks() + MAX_CHUNKS_PER_PASS;
            while (!mHeld.isEmpty() && mayPass() && mProgress.chunks() < maxChunks) {
                boolean receiving = mProgress.isReceiving();
                boolean passed = receiving ? passBody() : passHead();
                if (!passed || mProgress.requests() > requests && !mProgress.isReceiving()) {
                    break;
                }
            }
        } finally {
            mProcessing = false;
        }
        resumeLater();
        resumeReads();
    }

    private void chargeHeld() {
        mReads.suspend(mContext.channel());
        if (!admit(mHeadCost + mHeld.bytes().capacity())) {
            refuse(InboundRefusal.NO_MEMORY);
        }
    }

    /** Returns false if a response is due first, or if the body is paused. */
    private boolean mayPass() {
        return !mProgress.isAwaitingResponse() && !isBodyPaused();
    }

    private boolean isBodyPaused() {
        return mBodyPaused && mProgress.isReceiving();
    }

    /**
     * Holds the body of the current request back. The server itself would keep some of what arrives
     * for each paused request.
     */
    void pauseBody() {
        mBodyPaused = true;
        if (isBodyPaused()) {
            mReads.suspend(mContext.channel());
        }
    }

    void resumeBody() {
        mBodyPaused = false;
        resumeLater();
        resumeReads();
    }

    private void resumeLater() {
        if (!mResuming && !mProcessing && isHolding() && mayPass()) {
            mResuming = true;
            mProtection.resumes().add(this);
        }
    }

    private boolean passBody() {
        long left = mProgress.bodyBytesLeft();
        int available = mHeld.bytes().readableBytes();
        int length = (int) Math.min(left > 0 ? left : BODY_SLICE_BYTES, available);
        mProgress.bodyBytesPassed(length);
        pass(length);
        return true;
    }

    /** Returns false if the head is incomplete or refused. */
    private boolean passHead() {
        ByteBuf held = mHeld.bytes();
        mHead.scan(held);
        Optional<InboundRefusal> refusal = mHead.limitExceeded();
        if (refusal.isPresent()) {
            refuse(refusal.get());
            return false;
        }
        mHeadCost = mHead.cost(held);
        if (!admit(mHeadCost)) {
            refuse(InboundRefusal.NO_MEMORY);
            return false;
        }
        if (!mHead.isComplete()) {
            awaitHead();
            return false;
        }
        if (mHead.isHttp2Preface(held)) {
            mContext.pipeline().remove(this);
            return false;
        }
        mHead.ignoreUpgrade(held);
        int length = mHead.length();
        endHead();
        mConnection.use(InboundConnection.Use.RECEIVING);
        long before = mProgress.requests();
        pass(length);
        if (mProgress.requests() == before) {
            // The decoder reads the end of lines differently; what it keeps is not charged.
            refuse(InboundRefusal.MALFORMED_HEAD);
        }
        return !mRefused;
    }

    private boolean admit(long cost) {
        return mProtection.admit(mConnection, mCharge, cost);
    }

    private void awaitHead() {
        if (mHead.hasStarted()) {
            mConnection.use(InboundConnection.Use.RECEIVING);
        } else {
            mHead.skipLeadingBytes(mHeld.bytes());
            mHeld.releaseIfRead();
        }
        if (mHead.isTimed()) {
            mHeadTimer.start(mHead.timeout());
        }
    }

    /** Runs the task where the connection is confined to, also if there are more event loops. */
    void onEventLoop(Runnable task) {
        mContext.executor().execute(task);
    }

    private void headTooLate() {
        refuse(
                mHead.hasStarted()
                        ? InboundRefusal.HEAD_TOO_LATE
                        : InboundRefusal.LEADING_BYTES_TOO_LATE);
    }

    private void endHead() {
        mHeadTimer.cancel();
        mHead.reset();
    }

    private void pass(int length) {
        mContext.fireChannelRead(mHeld.take(length));
    }

    /** What the decoder finds on the connection. */
    RequestProgress progress() {
        return mProgress;
    }

    /** Records that a request is complete. */
    void requestReceived() {
        mProgress.requestReceived();
        mBodyPaused = false;
        resumeReads();
        mConnection.use(InboundConnection.Use.RESPONDING);
        endIfIdle();
    }

    /** Records that a response is written, or that the connection has failed. */
    void responseWritten() {
        mProgress.responseWritten();
        endIfIdle();
    }

    private void endIfIdle() {
        if (mProgress.hasUnanswered() || mProgress.isReceiving() || mRefused) {
            return;
        }
        mCharge.release();
        mHeadCost = 0;
        if (mHeld.isEmpty()) {
            mConnection.use(InboundConnection.Use.IDLE);
        } else {
            resumeLater();
        }
    }

    /** Passes on the next of the requests or the part of a body that waits. */
    void resume() {
        mResuming = false;
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
        mConnection.use(InboundConnection.Use.IDLE);
        mReads.resume(mContext.channel());
        mCloser.close(mContext, mProgress.hasUnanswered() ? "" : refusal.response());
    }

    /** Records that the connection is closed. */
    void closed() {
        mRefused = true;
        mCloser.closed();
        release();
    }

    private void release() {
        endHead();
        mCharge.release();
        mHeld.release();
    }
}
