package org.tanagergap.runtime.http;

import io.vertx.core.buffer.Buffer;

/**
 * A body that is being received. Its memory grows with what has arrived: many clients announce long
 * bodies that they never send.
 */
public final class BodyBuffer {

    private static final int FIRST_BYTES = 16 << 10;

    /** Largest part by which the memory exceeds what has arrived. */
    public static final int GROWTH_FACTOR = 2;

    private final long mMaxBytes;
    private Buffer mBytes = Buffer.buffer();
    private long mCapacity;

    /**
     * Creates an empty body.
     *
     * @param maxBytes its length, or the largest one if that is not known
     */
    public BodyBuffer(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Adds a part. */
    public void append(Buffer bytes) {
        long length = (long) mBytes.length() + bytes.length();
        if (length > mCapacity) {
            mCapacity = capacityFor(length);
            mBytes = Buffer.buffer((int) mCapacity).appendBuffer(mBytes);
        }
        mBytes.appendBuffer(bytes);
    }

    /** Memory of the body once it has the given length. */
    public long capacityFor(long length) {
        if (length <= mCapacity) {
            return mCapacity;
        }
        long next = Math.max(FIRST_BYTES, GROWTH_FACTOR * mCapacity);
        return Math.max(length, Math.min(mMaxBytes, next));
    }

    /** Number of bytes that have arrived. */
    public int length() {
        return mBytes.length();
    }

    /** Returns what has arrived. */
    public Buffer bytes() {
        return mBytes;
    }

    /** Drops what has arrived. */
    public void clear() {
        mBytes = Buffer.buffer();
        mCapacity = 0;
    }
}
