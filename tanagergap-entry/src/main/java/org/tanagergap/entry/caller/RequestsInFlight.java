package org.tanagergap.entry.caller;

import java.util.concurrent.CompletableFuture;

/** Counts requests in flight and tells when the last one has ended during a shutdown. */
public final class RequestsInFlight {

    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private int mCount;
    private boolean mClosed;

    /** Counts a request; false when no new requests are accepted. */
    synchronized boolean tryBegin() {
        if (mClosed) {
            return false;
        }
        mCount++;
        return true;
    }

    void end() {
        boolean drained;
        synchronized (this) {
            mCount--;
            drained = mClosed && mCount == 0;
        }
        if (drained) {
            mDrained.complete(null);
        }
    }

    /** Number of requests in flight. */
    public synchronized int count() {
        return mCount;
    }

    /** Accepts no new requests; the future completes when the last one has ended. */
    public CompletableFuture<Void> close() {
        boolean drained;
        synchronized (this) {
            mClosed = true;
            drained = mCount == 0;
        }
        if (drained) {
            mDrained.complete(null);
        }
        return mDrained;
    }
}
