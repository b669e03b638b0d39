package org.tanagergap.api.store;

import java.util.Comparator;

/**
 * Position in the history of a key-value store. A store that was restored from a backup begins a
 * new epoch, in which it gives out revisions of the previous one again.
 *
 * @param epoch number of the history; 0 for a store that has only one
 * @param revision revision of the store within the epoch
 */
public record StorePosition(long epoch, long revision) implements Comparable<StorePosition> {

    /** Position before the first read. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::epoch)
                    .thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns true if the position belongs to a later history than the other. */
    public boolean isInLaterEpoch(StorePosition other) {
        return epoch > other.epoch;
    }

    /** Returns true if the revisions of both positions can be compared. */
    public boolean isInSameEpoch(StorePosition other) {
        return epoch == other.epoch;
    }

    /** Returns the later of the positions. */
    public StorePosition max(StorePosition other) {
        return isAfter(other) ? this : other;
    }

    @Override
    public String toString() {
        return epoch == 0 ? Long.toString(revision) : revision + " of epoch " + epoch;
    }
}
