package org.tanagergap.decisions.scheduling;

import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.tanagergap.api.request.LengthBand;

/** Queued items of one workspace within one rank. */
final class WorkspaceFlow {

    static final Comparator<WorkspaceFlow> BY_TAG =
            Comparator.comparingDouble((WorkspaceFlow f) -> f.mTag).thenComparing(f -> f.mName);

    /**
     * Compares queue slots, which are the resource in short supply, and then work, both by weight.
     */
    static final Comparator<WorkspaceFlow> BY_EXCESS =
            Comparator.comparingDouble((WorkspaceFlow f) -> f.queued() / (double) f.mWeight)
                    .thenComparingDouble(f -> f.mBacklog.memoryTokens() / (double) f.mWeight)
                    .thenComparing(f -> f.mName);

    private final String mName;
    private final Backlog mBacklog = new Backlog();
    private final TreeSet<QueuedItem> mByArrival = new TreeSet<>(QueuedItem.BY_ARRIVAL);
    private final Map<LengthBand, TreeSet<QueuedItem>> mByBand = new EnumMap<>(LengthBand.class);
    private int mWeight;
    private double mTag;

    WorkspaceFlow(String name, int weight) {
        mName = name;
        mWeight = weight;
        for (LengthBand band : LengthBand.values()) {
            mByBand.put(band, new TreeSet<>(QueuedItem.BY_URGENCY));
        }
    }

    String name() {
        return mName;
    }

    int weight() {
        return mWeight;
    }

    void setWeight(int weight) {
        mWeight = weight;
    }

    /** Returns the start tag of the next item in virtual time. */
    double tag() {
        return mTag;
    }

    void setTag(double tag) {
        mTag = tag;
    }

    Backlog backlog() {
        return mBacklog;
    }

    int queued() {
        return mByArrival.size();
    }

    boolean isEmpty() {
        return mByArrival.isEmpty();
    }

    boolean hasBand(LengthBand band) {
        return !mByBand.get(band).isEmpty();
    }

    Optional<QueuedItem> mostUrgent(LengthBand band) {
        TreeSet<QueuedItem> items = mByBand.get(band);
        return items.isEmpty() ? Optional.empty() : Optional.of(items.first());
    }

    QueuedItem newest() {
        return mByArrival.last();
    }

    void add(QueuedItem queued) {
        mByArrival.add(queued);
        mByBand.get(queued.band()).add(queued);
        mBacklog.add(queued);
    }

    void remove(QueuedItem queued) {
        mByArrival.remove(queued);
        mByBand.get(queued.band()).remove(queued);
        mBacklog.remove(queued);
    }
}
