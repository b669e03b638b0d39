package org.tanagergap.entry.caller;

import java.util.concurrent.CompletableFuture;

/** Counts requests in flight and signals the end of the last one during a shutdown. */
public final class RequestsInFlight {

    private final CompletableFuture<Void> mDrained = new CompletableFuture<>();
    private int mCount;
    private boolean mClosed;

    /** Counts a request; returns false if no new requests are accepted. */
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

    /** Stops accepting requests; the future completes when the last one in flight has ended. */
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
