package org.tanagergap.decisions.memory;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Bounds the memory of all messages that are buffered at the same time. When they need more, the
 * largest incomplete message is evicted: one that grows without end goes before the small ones
 * beside it. Thread-safe.
 */
public final class SharedMemoryLimit {

    private final long mMaxBytes;
    private final Set<Share> mIncomplete = new LinkedHashSet<>();
    private long mUsedBytes;

    /** Creates a limit for the total size of the messages. */
    public SharedMemoryLimit(long maxBytes) {
        if (maxBytes <= 0) {
            throw new IllegalArgumentException("maxBytes must be positive: " + maxBytes);
        }
        mMaxBytes = maxBytes;
    }

    /**
     * Creates a limit of a third of the heap: a buffer may take up to twice its bytes while it
     * grows, and other state needs the rest.
     */
    public static SharedMemoryLimit ofHeap() {
        return new SharedMemoryLimit(Runtime.getRuntime().maxMemory() / 3);
    }

    /** Creates a limit of half of the heap for messages that are counted at their full capacity. */
    public static SharedMemoryLimit ofHeapCapacity() {
        return new SharedMemoryLimit(Runtime.getRuntime().maxMemory() / 2);
    }

    /** Memory of one message. */
    public final class Share {

        private final Runnable mOnEvict;
        private long mBytes;
        private boolean mClosed;

        private Share(Runnable onEvict) {
            mOnEvict = Objects.requireNonNull(onEvict, "onEvict must not be null");
        }

        /** Counts a further part of the message, and evicts messages if it does not fit. */
        public void add(long bytes) {
            // The actions may close connections and are called without the lock.
            addAndTakeEvicted(this, bytes).forEach(evicted -> evicted.mOnEvict.run());
        }

        /** Records that the message is complete, so that it is not evicted any more. */
        public void completed() {
            synchronized (SharedMemoryLimit.this) {
                mIncomplete.remove(this);
            }
        }

        /** Records that the message no longer uses memory; further calls have no effect. */
        public void close() {
            synchronized (SharedMemoryLimit.this) {
                if (!mClosed) {
                    mClosed = true;
                    mIncomplete.remove(this);
                    mUsedBytes -= mBytes;
                }
            }
        }
    }

    /**
     * Adds a message without any bytes yet.
     *
     * @param onEvict called when the message must be given up; its memory is no longer counted
     */
    public synchronized Share open(Runnable onEvict) {
        Share share = new Share(onEvict);
        mIncomplete.add(share);
        return share;
    }

    /** Total size of the messages. */
    public synchronized long usedBytes() {
        return mUsedBytes;
    }

    /** Largest total size of the messages. */
    public long maxBytes() {
        return mMaxBytes;
    }

    private synchronized List<Share> addAndTakeEvicted(Share share, long bytes) {
        List<Share> evicted = new ArrayList<>();
        if (share.mClosed) {
            return evicted;
        }
        share.mBytes += bytes;
        mUsedBytes += bytes;
        while (mUsedBytes > mMaxBytes && !mIncomplete.isEmpty()) {
            Share largest = largestIncomplete();
            largest.close();
            evicted.add(largest);
        }
        return evicted;
    }

    private Share largestIncomplete() {
        return Collections.max(mIncomplete, Comparator.comparingLong(share -> share.mBytes));
    }
}
