package org.tanagergap.decisions.memory;

import java.util.Objects;

/**
 * Decides how many connections of clients a process keeps. It answers crowds that open connections
 * without end: each occupies memory and a descriptor even if nothing is sent on it. Connections use
 * a part of the memory for messages. Confined to the event loop.
 */
public final class ConnectionAdmission {

    /** Memory of the objects of a connection without a request. */
    public static final long CONNECTION_BYTES = 8 << 10;

    /** Part of the memory for messages; heads, bodies and responses use the rest. */
    private static final double MEMORY_SHARE = 0.375;

    private final SharedMemoryLimit mLimit;
    private final int mMaxConnections;
    private int mOpen;
    private long mUsedBytes;

    /**
     * Creates an admission to a part of the memory.
     *
     * @param maxConnections largest number of connections if the memory does not bound it
     */
    public ConnectionAdmission(SharedMemoryLimit limit, int maxConnections) {
        mLimit = Objects.requireNonNull(limit, "limit must not be null");
        mMaxConnections = (int) Math.min(maxConnections, maxBytes() / CONNECTION_BYTES);
    }

    /** Largest number of connections. */
    public int maxConnections() {
        return mMaxConnections;
    }

    /** Number of open connections. */
    public int open() {
        return mOpen;
    }

    /** Memory charged for all connections. */
    public long usedBytes() {
        return mUsedBytes;
    }

    /** Returns true if connections have to be closed. */
    public boolean isExceeded() {
        return mOpen > mMaxConnections || mUsedBytes > maxBytes();
    }

    /** Adds a connection; the caller closes connections while the limit is exceeded. */
    public Charge add() {
        return new Charge();
    }

    private long maxBytes() {
        return (long) (MEMORY_SHARE * mLimit.maxBytes());
    }

    /** Memory of a connection. */
    public final class Charge {

        private final SharedMemoryLimit.Share mShare = mLimit.open(() -> {});
        private long mBytes;
        private boolean mClosed;

        private Charge() {
            // Connections are closed in the order of their use and not by size.
            mShare.completed();
            mOpen++;
            raise(CONNECTION_BYTES);
        }

        /** Charges further memory of the connection, such as that of its protocol. */
        public void raise(long bytes) {
            mBytes += bytes;
            mUsedBytes += bytes;
            mShare.add(bytes);
        }

        /** Records that the connection is closed; further calls have no effect. */
        public void close() {
            if (!mClosed) {
                mClosed = true;
                mOpen--;
                mUsedBytes -= mBytes;
                mShare.close();
            }
        }
    }
}
