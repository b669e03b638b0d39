package org.tanagergap.platform.keyvalue;

import java.util.List;

/**
 * Changes of keys since a revision, or one page of their current values.
 *
 * @param items values in order; a deleted key has an empty value
 * @param revision revision of the store that the items reflect
 * @param complete whether nothing follows
 */
public record Changes(List<KeyValue> items, long revision, boolean complete) {

    public Changes {
        items = List.copyOf(items);
    }
}
