package org.tanagergap.gateway.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;

/**
 * Local replica of the store's keys with given prefixes. It accepts changes from the store and from
 * peers in any order and keeps the newest value of each key. All its items belong to one epoch of
 * the store, as revisions of different epochs cannot be compared. Confined to the event loop.
 */
public final class StoreReplica {

    private final List<String> mPrefixes;
    private final Consumer<KeyValue> mListener;
    private final Map<String, KeyValue> mItems = new HashMap<>();
    private StorePosition mPosition = StorePosition.NONE;

    /** Position of the last full read: keys that it lacks were deleted by then. */
    private StorePosition mCompleteSince = StorePosition.NONE;

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

    /** Position of the store that the replica reflects. */
    public StorePosition position() {
        return mPosition;
    }

    /** Applies changes from the store or a peer in the same epoch. */
    public void apply(Changes changes) {
        if (!changes.position().isInSameEpoch(mPosition)) {
            throw new IllegalArgumentException(
                    "changes at " + changes.position() + " cannot follow " + mPosition);
        }
        for (KeyValue item : changes.items()) {
            if (mPrefixes.stream().anyMatch(item.key()::startsWith)) {
                accept(item);
            }
        }
        mPosition = mPosition.max(changes.position());
    }

    /** Applies single items of the current epoch without the changes before them. */
    public void applyAhead(List<KeyValue> items) {
        items.forEach(this::accept);
    }

    /**
     * Replaces the contents by a full read of the store in the same or a later epoch: missing keys
     * count as deleted, unless they changed after the read in the same epoch.
     */
    public void replace(List<KeyValue> items, StorePosition position) {
        Map<String, KeyValue> previous = Map.copyOf(mItems);
        if (position.isInLaterEpoch(mPosition)) {
            mItems.clear();
            mPosition = new StorePosition(position.epoch(), 0);
        }
        Set<String> present = new HashSet<>();
        items.forEach(item -> present.add(item.key()));
        for (KeyValue known : previous.values()) {
            if (!present.contains(known.key()) && !known.value().isEmpty()) {
                acceptMissing(known.key(), position.revision());
            }
        }
        apply(new Changes(items, position, true));
        mCompleteSince = mCompleteSince.max(position);
    }

    private void acceptMissing(String key, long revision) {
        KeyValue current = mItems.get(key);
        if (current == null || current.modRevision() <= revision) {
            accept(new KeyValue(key, "", revision, 0));
        }
    }

    /**
     * Changes after the position for another replica, or all items if the position is in an earlier
     * epoch or from before the last full read, which does not show the keys deleted until then.
     */
    public PeerChanges changesAfter(StorePosition position) {
        boolean allItems = mCompleteSince.isAfter(position);
        List<KeyValue> items = new ArrayList<>();
        for (KeyValue item : mItems.values()) {
            if (allItems || position(item).isAfter(position)) {
                items.add(item);
            }
        }
        return new PeerChanges(items, mPosition, allItems);
    }

    private StorePosition position(KeyValue item) {
        return new StorePosition(mPosition.epoch(), item.modRevision());
    }

    private void accept(KeyValue item) {
        KeyValue current = mItems.get(item.key());
        boolean newer =
                current == null
                        ? position(item).isAfter(mCompleteSince)
                        : item.modRevision() > current.modRevision();
        if (newer) {
            mItems.put(item.key(), item);
            mListener.accept(item);
        }
    }
}
