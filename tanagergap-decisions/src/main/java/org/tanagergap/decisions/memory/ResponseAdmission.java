package org.tanagergap.decisions.memory;

import java.util.Objects;

/**
 * Decides which responses to other processes and to operators are built while memory is short. A
 * client may leave its response unread, and its memory is used until then. Confined to the event
 * loop.
 */
public final class ResponseAdmission {

    /** Share of the memory that several of these responses may use. */
    private static final double MAX_SHARE = 0.5;

    /** A response is in memory once more while it is written. */
    private static final int MEMORY_FACTOR = 2;

    private final SharedMemoryLimit mLimit;
    private long mUsedBytes;

    /** Creates an admission to a part of the memory. */
    public ResponseAdmission(SharedMemoryLimit limit) {
        mLimit = Objects.requireNonNull(limit, "limit must not be null");
    }

    /**
     * Returns true if a response of the given size may be built. A single one may use all memory
     * that is free.
     */
    public boolean admits(long bytes) {
        long cost = MEMORY_FACTOR * bytes;
        boolean inShare = mUsedBytes == 0 || mUsedBytes + cost <= MAX_SHARE * mLimit.maxBytes();
        return inShare && mLimit.usedBytes() + cost <= mLimit.maxBytes();
    }

    /** Charges a response that has been built. */
    public Charge charge(long bytes) {
        return new Charge(MEMORY_FACTOR * bytes);
    }

    /** Memory of the responses that are not written. */
    public long usedBytes() {
        return mUsedBytes;
    }

    /** Memory of one response. */
    public final class Charge {

        private final long mBytes;
        private final SharedMemoryLimit.Share mShare = mLimit.open(() -> {});
        private boolean mReleased;

        private Charge(long bytes) {
            mBytes = bytes;
            mUsedBytes += bytes;
            mShare.completed();
            mShare.add(bytes);
        }

        /** Records that the response is written or given up; further calls have no effect. */
        public void release() {
            if (!mReleased) {
                mReleased = true;
                mUsedBytes -= mBytes;
                mShare.close();
            }
        }
    }
}
