package org.tanagergap.entry.caller;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total size of request bodies in memory. */
public final class BytesInFlight {

    private final long mMaxBytes;
    private final AtomicLong mBytes = new AtomicLong();

    public BytesInFlight(long maxBytes) {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("maxBytes must be positive: " + maxBytes);
        }
        mMaxBytes = maxBytes;
    }

    /** Adds the bytes; returns false without adding them if that would exceed the limit. */
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

    /** Total size of the request bodies in memory. */
    public long bytes() {
        return mBytes.get();
    }
}
