package org.tanagergap.decisions.memory;

import java.util.Objects;

/**
 * Decides which heads of requests a process parses while memory is short. It protects against heads
 * of many short lines, which occupy a hundred times their bytes until the requests end. A head is
 * charged with the memory that it occupies once parsed, from the time at which its bytes are read
 * until its response is written. Large heads may use only a part of the memory for heads, and only
 * memory that bodies and responses leave free, so that ordinary requests are served beside them.
 * Confined to the event loop.
 */
public final class HeadAdmission {

    /** Heads with a cost up to this are small; the usual ones have a cost of 6 to 10 KB. */
    public static final long SMALL_HEAD_COST = 32 << 10;

    /**
     * Memory of a header line besides its bytes: about 110 bytes for the field as received, as many
     * for the copy that is sent to the upstream, and the rest for its part of the tables.
     */
    private static final long COST_PER_LINE = 256;

    /** The bytes are kept as received, as strings, and in the request to the upstream. */
    private static final long COST_PER_BYTE = 3;

    /** Memory of a request without header fields and of its connection. */
    private static final long COST_PER_HEAD = 2 << 10;

    /** Parts of the memory for all messages that heads may use. */
    private static final int HEADS_DIVISOR = 2;

    private static final int LARGE_HEADS_DIVISOR = 4;

    private final SharedMemoryLimit mLimit;
    private long mUsedBytes;
    private long mLargeBytes;

    /** Creates an admission to a part of the memory, which bodies and responses use too. */
    public HeadAdmission(SharedMemoryLimit limit) {
        mLimit = Objects.requireNonNull(limit, "limit must not be null");
    }

    /** Memory that a head occupies once it is parsed. */
    public static long cost(long bytes, long lines) {
        return COST_PER_HEAD + COST_PER_BYTE * bytes + COST_PER_LINE * lines;
    }

    /** Adds a connection without a head. */
    public Charge open() {
        return new Charge();
    }

    /** Memory charged for all heads. */
    public long usedBytes() {
        return mUsedBytes;
    }

    /** Memory charged for the heads of a connection. */
    public final class Charge {

        private SharedMemoryLimit.Share mShare;
        private long mBytes;

        private Charge() {}

        /**
         * Raises the charge to the given cost.
         *
         * @return false if there is no memory for it; the charge is unchanged then
         */
        public boolean raise(long cost) {
            long added = cost - mBytes;
            if (added <= 0) {
                return true;
            }
            boolean large = cost > SMALL_HEAD_COST;
            long addedLarge = large ? cost - largeBytes() : 0;
            boolean fits =
                    mUsedBytes + added <= mLimit.maxBytes() / HEADS_DIVISOR
                            && (!large || fitsLarge(added, addedLarge));
            if (fits) {
                charge(added);
                mLargeBytes += addedLarge;
            }
            return fits;
        }

        private boolean fitsLarge(long added, long addedLarge) {
            return mLargeBytes + addedLarge <= mLimit.maxBytes() / LARGE_HEADS_DIVISOR
                    && mLimit.usedBytes() + added <= mLimit.maxBytes();
        }

        private void charge(long bytes) {
            if (mShare == null) {
                mShare = mLimit.open(() -> {});
                // A head that is parsed cannot be given up; responses may be.
                mShare.completed();
            }
            mBytes += bytes;
            mUsedBytes += bytes;
            mShare.add(bytes);
        }

        private long largeBytes() {
            return mBytes > SMALL_HEAD_COST ? mBytes : 0;
        }

        /** Records that the heads no longer use memory. */
        public void release() {
            if (mShare != null) {
                mLargeBytes -= largeBytes();
                mUsedBytes -= mBytes;
                mBytes = 0;
                mShare.close();
                mShare = null;
            }
        }
    }
}
