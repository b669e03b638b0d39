package org.tanagergap.decisions.scheduling;

import java.util.Comparator;
import org.tanagergap.api.request.LengthBand;

/** Item in the queue with its sort keys. */
final class QueuedItem {

    /** Deadlines within the same second count as equal, so that length decides between them. */
    private static final long DEADLINE_STEP_NANOS = 1_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    static final Comparator<QueuedItem> BY_URGENCY =
            Comparator.comparingLong((QueuedItem w) -> w.mDeadlineStep)
                    .thenComparingDouble(w -> w.mAgedLength)
                    .thenComparingLong(w -> w.mSequence);

    static final Comparator<QueuedItem> BY_ARRIVAL =
            Comparator.comparingLong((QueuedItem w) -> w.mSequence);

    static final Comparator<QueuedItem> BY_EXPIRY =
            Comparator.comparingLong((QueuedItem w) -> w.mExpiryNanos)
                    .thenComparingLong(w -> w.mSequence);

    private final WorkItem mItem;
    private final long mSequence;
    private final long mExpiryNanos;
    private final long mDeadlineStep;
    private final double mAgedLength;
    private long mBlockedSinceNanos;
    private boolean mBlocked;

    /**
     * Creates an entry.
     *
     * @param expiryNanos time after which the item can no longer meet its deadline
     */
    QueuedItem(
            WorkItem item, long sequence, long nowNanos, long expiryNanos, double ageingPerSecond) {
        mItem = item;
        mSequence = sequence;
        mExpiryNanos = expiryNanos;
        mDeadlineStep = Math.floorDiv(item.deadline().nanos(), DEADLINE_STEP_NANOS);
        // An item that arrived at a has length L * (1 - ageing)^(t - a) at time t. The logarithm
        // without the term in t orders items the same way at every t, so the key never changes.
        double arrivalSeconds = nowNanos / NANOS_PER_SECOND;
        mAgedLength = Math.log(memoryTokens()) - Math.log1p(-ageingPerSecond) * arrivalSeconds;
    }

    WorkItem item() {
        return mItem;
    }

    LengthBand band() {
        return mItem.lengthBand();
    }

    boolean isLong() {
        return band() == LengthBand.LONG;
    }

    String workspace() {
        return mItem.policy().workspace();
    }

    String rank() {
        return mItem.policy().rank();
    }

    long expiryNanos() {
        return mExpiryNanos;
    }

    long promptTokens() {
        return mItem.cost().promptTokens();
    }

    /**
     * Returns the memory of the item, which is also its charge to fair shares. It is at least 1, so
     * that calls to plain services are counted.
     */
    long memoryTokens() {
        return memoryTokens(mItem);
    }

    static long memoryTokens(WorkItem item) {
        return Math.max(1, item.cost().memoryTokens());
    }

    /**
     * Records that the item was next in order but did not fit.
     *
     * @return time since this was first recorded
     */
    long blockedNanos(long nowNanos) {
        if (!mBlocked) {
            mBlocked = true;
            mBlockedSinceNanos = nowNanos;
        }
        return nowNanos - mBlockedSinceNanos;
    }
}
