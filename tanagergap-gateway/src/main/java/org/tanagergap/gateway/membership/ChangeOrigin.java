package org.tanagergap.gateway.membership;

/** Where a change of an item in the store comes from. */
public enum ChangeOrigin {

    /** The item was written or removed. */
    WRITE,
    /** Seen during or soon after an outage, so that a removal may be a lease that has expired. */
    OUTAGE,
    /**
     * Difference to the contents of a store that was restored from a backup: the item may have been
     * written long ago, and a missing one may be written again.
     */
    RESTORE
}
