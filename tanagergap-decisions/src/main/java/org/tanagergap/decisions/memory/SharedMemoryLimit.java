package org.tanagergap.decisions.memory;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory of all messages that are buffered at the same time. When they need more, the
 * largest incomplete message is evicted: one that grows without end goes before the small ones
 * beside it. Not thread-safe.
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
            if (mClosed) {
                return;
            }
            mBytes += bytes;
            mUsedBytes += bytes;
            evictWhileFull();
        }

        /** Records that the message is complete, so that it is not evicted any more. */
        public void completed() {
            mIncomplete.remove(this);
        }

        /** Records that the message no longer uses memory; further calls have no effect. */
        public void close() {
            if (!mClosed) {
                mClosed = true;
                mIncomplete.remove(this);
                mUsedBytes -= mBytes;
            }
        }
    }

    /**
     * Adds a message without any bytes yet.
     *
     * @param onEvict called when the message must be given up; its memory is no longer counted
     */
    public Share open(Runnable onEvict) {
        Share share = new Share(onEvict);
        mIncomplete.add(share);
        return share;
    }

    /** Total size of the messages. */
    public long usedBytes() {
        return mUsedBytes;
    }

    private void evictWhileFull() {
        while (mUsedBytes > mMaxBytes) {
            Optional<Share> largest = largestIncomplete();
            if (largest.isEmpty()) {
                return;
            }
            largest.get().close();
            largest.get().mOnEvict.run();
        }
    }

    private Optional<Share> largestIncomplete() {
        return mIncomplete.stream().max(Comparator.comparingLong(share -> share.mBytes));
    }
}
