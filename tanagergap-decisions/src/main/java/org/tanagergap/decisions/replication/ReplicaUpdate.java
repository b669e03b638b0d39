package org.tanagergap.decisions.replication;

import java.util.List;
import org.tanagergap.api.store.StorePosition;

/**
 * What a replica of a store does with a response. A store that was restored from a backup has lost
 * changes that the replica may hold, so changes since a revision of the earlier history do not lead
 * from the replica's contents to those of the store. The replica may also have moved to a later
 * history while it waited for the response.
 */
public enum ReplicaUpdate {

    /** The response holds the changes since a position of the replica's own history. */
    APPLY,
    /** The response holds all items of the replica's or a later history. */
    REPLACE,
    /** The replica has to read the whole store, which is in a later history. */
    READ_ALL,
    /** The response does not fit the history that the replica is in. */
    IGNORE;

    /**
     * Decides about changes.
     *
     * @param requested position after which changes were requested
     * @param replica present position of the replica
     * @param response position of the store at the response
     */
    public static ReplicaUpdate forChanges(
            StorePosition requested, StorePosition replica, StorePosition response) {
        if (response.isInLaterEpoch(replica)) {
            return READ_ALL;
        }
        boolean sameHistory = response.isInSameEpoch(replica) && response.isInSameEpoch(requested);
        return sameHistory ? APPLY : IGNORE;
    }

    /**
     * Decides about all items, in one or more pages. The store may have sent the first pages before
     * a restore.
     */
    public static ReplicaUpdate forContents(StorePosition replica, List<StorePosition> pages) {
        StorePosition first = pages.get(0);
        if (!pages.stream().allMatch(first::isInSameEpoch)) {
            return READ_ALL;
        }
        return replica.isInLaterEpoch(first) ? IGNORE : REPLACE;
    }
}
