package org.tanagergap.entry.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of bodies that the entry holds at once. */
public final class BytesInFlight {

    private final long mMaxBytes;
    private final AtomicLong mBytes = new AtomicLong();

    public BytesInFlight(long maxBytes) {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("maxBytes must be positive: " + maxBytes);
        }
        mMaxBytes = maxBytes;
    }

    /** Adds the bytes unless that would exceed the bound. */
    boolean tryReserve(long bytes) {
        if (mBytes.addAndGet(bytes) <= mMaxBytes) {
            return true;
        }
        mBytes.addAndGet(-bytes);
        return false;
    }

    void release(long bytes) {
        mBytes.addAndGet(-bytes);
    }

    /** Bytes held at present. */
    public long bytes() {
        return mBytes.get();
    }
}
