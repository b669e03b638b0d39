package org.tanagergap.platform.keyvalue;

import java.util.List;
import org.tanagergap.api.store.StorePosition;

/**
 * Changes of keys since a revision, or one page of their current values.
 *
 * @param items values in order; the value of a deleted key is empty
 * @param position position of the store that the items correspond to
 * @param complete true if no page follows
 */
public record Changes(List<KeyValue> items, StorePosition position, boolean complete) {

    public Changes {
        items = List.copyOf(items);
    }
}
