package org.tanagergap.decisions.replication;

/**
 * Decides what a replica reads from the store next. After a failed read the operator's keys come
 * first and by themselves, because they decide who may run requests and must not wait for the rest:
 * the changes during an outage can be larger or slower than one response may be. If the changes
 * fail although the operator's keys have just arrived, the contents are read instead, in pages of
 * bounded size. Confined to the event loop.
 */
public final class ReadSchedule {

    private boolean mLoaded;
    private boolean mContentsNeeded = true;
    private boolean mOperatorKeysNeeded;
    private boolean mRecovering;

    /** Read from the store. */
    public enum Read {
        /** The keys of the operator only: the configuration and the drained failure domains. */
        OPERATOR_KEYS,
        /** The changes since the replica's position. */
        CHANGES,
        /** All items, page by page. */
        CONTENTS
    }

    /** Read that comes next. */
    public Read next() {
        if (mOperatorKeysNeeded) {
            return Read.OPERATOR_KEYS;
        }
        return mContentsNeeded ? Read.CONTENTS : Read.CHANGES;
    }

    /** Returns true if the next read should follow at once. */
    public boolean behind() {
        return mContentsNeeded || mRecovering;
    }

    public void succeeded(Read read) {
        if (read == Read.OPERATOR_KEYS) {
            mOperatorKeysNeeded = false;
            return;
        }
        mRecovering = false;
        if (read == Read.CONTENTS) {
            mContentsNeeded = false;
            mLoaded = true;
        }
    }

    public void failed(Read read) {
        if (read == Read.CHANGES && mRecovering) {
            mContentsNeeded = true;
        }
        // The first contents take effect as a whole, so nothing is gained by reading a part twice.
        mOperatorKeysNeeded = mLoaded;
        mRecovering = mLoaded;
    }

    /** Records that changes since the replica's position no longer lead to the store's contents. */
    public void contentsNeeded() {
        mContentsNeeded = true;
        mOperatorKeysNeeded = mLoaded;
    }
}
