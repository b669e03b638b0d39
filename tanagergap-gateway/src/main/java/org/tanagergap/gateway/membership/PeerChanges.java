package org.tanagergap.gateway.membership;

import java.util.List;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.platform.keyvalue.KeyValue;

/**
 * Items of one replica for another.
 *
 * @param items changed items, or all items; the value of a deleted key is empty
 * @param position position of the store that the sender's replica reflects
 * @param allItems whether other keys do not exist, as opposed to not having changed
 * @param sender address of the sender; empty before they are sent
 */
public record PeerChanges(
        List<KeyValue> items, StorePosition position, boolean allItems, String sender) {

    public PeerChanges {
        items = List.copyOf(items);
    }

    /** Creates changes that are not sent yet. */
    public PeerChanges(List<KeyValue> items, StorePosition position, boolean allItems) {
        this(items, position, allItems, "");
    }

    /** Returns the changes as received from the sender. */
    public PeerChanges receivedFrom(String address) {
        return new PeerChanges(items, position, allItems, address);
    }
}
