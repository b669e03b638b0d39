package org.tanagergap.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.tanagergap.decisions.memory.HeadAdmission;

/** Finds the heads of requests in what arrives on a connection, and checks their limits. */
final class HeadReader {

    /** Some clients send an empty line after a body and then no request for a long time. */
    private static final int EMPTY_LINE_BYTES = 2;

    private static final int INCOMPLETE = -1;

    /** First line of a connection whose client speaks HTTP/2 without asking. */
    private static final ByteBuf HTTP2_PREFACE =
            Unpooled.unreleasableBuffer(
                    Unpooled.copiedBuffer("PRI * HTTP/2.0\r\n", StandardCharsets.US_ASCII));

    private static final byte[] UPGRADE_FIELD = "upgrade:".getBytes(StandardCharsets.US_ASCII);
    private static final byte LINE_FEED = '\n';

    private final HeadScanner mScanner = new HeadScanner();
    private boolean mIsFirst = true;
    private int mScannedBytes;
    private int mLength = INCOMPLETE;
    private InboundLimits mLimits;

    HeadReader(InboundLimits limits) {
        mLimits = limits;
    }

    void limits(InboundLimits limits) {
        mLimits = limits;
    }

    /** Scans the bytes that have arrived since the last call. */
    void scan(ByteBuf held) {
        int unscanned = held.readableBytes() - mScannedBytes;
        int end = mScanner.scan(held, held.readerIndex() + mScannedBytes, unscanned);
        mLength = end < 0 ? INCOMPLETE : mScannedBytes + end;
        mScannedBytes += unscanned;
    }

    /** Prepares for the next head. */
    void reset() {
        mIsFirst = false;
        mScanner.reset();
        mScannedBytes = 0;
        mLength = INCOMPLETE;
    }

    /** Skips bytes in front of a head, which the decoder would skip as well. */
    void skipLeadingBytes(ByteBuf held) {
        held.skipBytes(held.readableBytes());
        mScannedBytes = 0;
    }

    /** Returns true if a part of a head has been scanned. */
    boolean isWithinHead() {
        return mScannedBytes > 0;
    }

    boolean hasStarted() {
        return mScanner.hasStarted();
    }

    boolean isComplete() {
        return mLength >= 0;
    }

    boolean isHttp2Preface(ByteBuf held) {
        return ByteBufUtil.equals(
                held, held.readerIndex(), HTTP2_PREFACE, 0, HTTP2_PREFACE.readableBytes());
    }

    /**
     * Renames the field of the first head that asks for HTTP/2, which a server may ignore. The
     * request would otherwise become a stream that is not observed.
     */
    void ignoreUpgrade(ByteBuf held) {
        if (!mIsFirst) {
            return;
        }
        int end = held.readerIndex() + mLength;
        int line = held.indexOf(held.readerIndex(), end, LINE_FEED);
        while (line >= 0 && line + UPGRADE_FIELD.length < end) {
            if (isUpgradeField(held, line + 1)) {
                held.setByte(line + 1, 'x');
            }
            line = held.indexOf(line + 1, end, LINE_FEED);
        }
    }

    private static boolean isUpgradeField(ByteBuf held, int start) {
        for (int i = 0; i < UPGRADE_FIELD.length; i++) {
            if (Character.toLowerCase(held.getByte(start + i)) != UPGRADE_FIELD[i]) {
                return false;
            }
        }
        return true;
    }

    /** Number of bytes of the complete head, with those in front of it. */
    int length() {
        return mLength;
    }

    /** Returns true if the head, or what arrives in front of it, must end within the timeout. */
    boolean isTimed() {
        return hasStarted() || mScanner.leadingBytes() > EMPTY_LINE_BYTES;
    }

    Duration timeout() {
        return mLimits.headTimeout().get();
    }

    Optional<InboundRefusal> limitExceeded() {
        if (mScanner.leadingBytes() > mLimits.maxLeadingBytes()) {
            return Optional.of(InboundRefusal.TOO_MANY_LEADING_BYTES);
        }
        int longestPart = Math.max(mScanner.firstLineBytes(), mScanner.fieldBytes());
        if (longestPart > mLimits.maxHeaderBytes().getAsInt()) {
            return Optional.of(InboundRefusal.HEAD_TOO_LONG);
        }
        if (mScanner.lines() > mLimits.maxHeadLines()) {
            return Optional.of(InboundRefusal.TOO_MANY_LINES);
        }
        return Optional.empty();
    }

    /** Memory of the head: once it is parsed, or of its bytes while it is incomplete. */
    long cost(ByteBuf held) {
        if (!hasStarted()) {
            return 0;
        }
        return isComplete()
                ? HeadAdmission.cost(mScanner.bytes(), mScanner.lines())
                : held.capacity();
    }
}
