package org.tanagergap.platform.keyvalue;

import java.util.List;

/**
 * Changes of keys since a revision, or one page of their current values.
 *
 * @param items values in order; the value of a deleted key is empty
 * @param revision revision of the store that the items correspond to
 * @param complete true if no page follows
 */
public record Changes(List<KeyValue> items, long revision, boolean complete) {

    public Changes {
        items = List.copyOf(items);
    }
}
