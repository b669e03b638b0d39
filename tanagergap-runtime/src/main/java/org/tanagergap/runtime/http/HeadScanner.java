package org.tanagergap.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/** Finds the end of the head of a request and measures its parts. */
final class HeadScanner implements ByteProcessor {

    private static final int LINE_END_BYTES = 2;

    private boolean mStarted;
    private boolean mLineEmpty;
    private boolean mEnded;
    private int mLeadingBytes;
    private int mBytes;
    private int mFirstLineBytes;
    private int mLines;

    /**
     * Scans bytes that follow those scanned before.
     *
     * @return number of bytes up to the end of the head, or -1 if it does not end there
     */
    int scan(ByteBuf bytes, int index, int length) {
        int end = bytes.forEachByte(index, length, this);
        return end < 0 ? -1 : end + 1 - index;
    }

    /** Returns false at the line feed that ends the head. */
    @Override
    public boolean process(byte value) {
        if (!mStarted) {
            // The decoder skips the same bytes in front of a head.
            if (value >= 0 && value <= ' ' || value == 0x7f) {
                mLeadingBytes++;
                return true;
            }
            mStarted = true;
        }
        mBytes++;
        if (mLines == 0) {
            mFirstLineBytes++;
        }
        if (value == '\n') {
            mLines++;
            mEnded = mLineEmpty;
            mLineEmpty = true;
        } else if (value != '\r') {
            mLineEmpty = false;
        }
        return !mEnded;
    }

    /** Prepares for the next head. */
    void reset() {
        mStarted = false;
        mLineEmpty = false;
        mEnded = false;
        mLeadingBytes = 0;
        mBytes = 0;
        mFirstLineBytes = 0;
        mLines = 0;
    }

    boolean hasStarted() {
        return mStarted;
    }

    /** Number of bytes in front of the head. */
    int leadingBytes() {
        return mLeadingBytes;
    }

    int bytes() {
        return mBytes;
    }

    /** Number of bytes of the first line, with its end. */
    int firstLineBytes() {
        return mFirstLineBytes;
    }

    /** Number of bytes of the header fields, without the ends of their lines. */
    int fieldBytes() {
        int ends = LINE_END_BYTES * Math.max(0, mLines - 1);
        return mBytes - mFirstLineBytes - ends;
    }

    int lines() {
        return mLines;
    }
}
