package org.tanagergap.gateway.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;

/**
 * Local replica of the store's keys with given prefixes. It accepts changes from the store and from
 * peers in any order and keeps the newest value of each key. Confined to the event loop.
 */
public final class StoreReplica {

    private final List<String> mPrefixes;
    private final Consumer<KeyValue> mListener;
    private final Map<String, KeyValue> mItems = new HashMap<>();
    private long mRevision;

    /**
     * Creates an empty replica.
     *
     * @param listener receives each item that is newer than the previous one with its key; a
     *     deleted key has an empty value
     */
    public StoreReplica(List<String> prefixes, Consumer<KeyValue> listener) {
        mPrefixes = List.copyOf(prefixes);
        mListener = listener;
    }

    /** Revision of the store that the replica reflects; 0 before the first read. */
    public long revision() {
        return mRevision;
    }

    /** Applies changes from the store or a peer. */
    public void apply(Changes changes) {
        for (KeyValue item : changes.items()) {
            if (mPrefixes.stream().anyMatch(item.key()::startsWith)) {
                accept(item);
            }
        }
        mRevision = Math.max(mRevision, changes.revision());
    }

    /**
     * Replaces the contents by a full read of the store: missing keys count as deleted, unless they
     * changed after its revision.
     */
    public void replace(List<KeyValue> items, long revision) {
        Set<String> present = new HashSet<>();
        items.forEach(item -> present.add(item.key()));
        for (KeyValue current : List.copyOf(mItems.values())) {
            boolean missing = !present.contains(current.key()) && !current.value().isEmpty();
            if (missing && current.modRevision() <= revision) {
                accept(new KeyValue(current.key(), "", revision, 0));
            }
        }
        apply(new Changes(items, revision, true));
    }

    /** Items that have changed after the revision; deleted keys have an empty value. */
    public List<KeyValue> itemsAfter(long revision) {
        List<KeyValue> items = new ArrayList<>();
        for (KeyValue item : mItems.values()) {
            if (item.modRevision() > revision) {
                items.add(item);
            }
        }
        return items;
    }

    private void accept(KeyValue item) {
        KeyValue current = mItems.get(item.key());
        if (current == null || item.modRevision() > current.modRevision()) {
            mItems.put(item.key(), item);
            mListener.accept(item);
        }
    }
}
