package org.tanagergap.decisions.fleet;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntSupplier;
import java.util.function.LongFunction;

/**
 * Estimates how many requests other instances place before this instance learns of them from their
 * reports. Balancers spread callers evenly, so other instances place about as many requests as this
 * one. Confined to the event loop.
 */
public final class ConcurrentPlacements {

    private static final Duration WINDOW = Duration.ofSeconds(2);

    /**
     * Transfer of a report and the round trip to the upstream, which add to the time since a report
     * was received.
     */
    private static final Duration TRANSFER = Duration.ofMillis(50);

    /** Assumed age of the last report of an instance that has not reported: the usual one. */
    private static final Duration UNKNOWN_AGE = Duration.ofMillis(100);

    private final IntSupplier mInstances;
    private final LongFunction<ReportAges> mAges;
    private final Deque<Long> mPlacedNanos = new ArrayDeque<>();

    /**
     * Creates an estimate.
     *
     * @param instances number of instances, this one included
     * @param ages ages of the peers' last reports at a time in ns
     */
    public ConcurrentPlacements(IntSupplier instances, LongFunction<ReportAges> ages) {
        mInstances = instances;
        mAges = ages;
    }

    /** Records that this instance places a request. */
    public void placed(long nowNanos) {
        mPlacedNanos.addLast(nowNanos);
    }

    /** Returns the expected number of requests that others have placed and not yet reported. */
    public double unreported(long nowNanos) {
        while (!mPlacedNanos.isEmpty() && nowNanos - mPlacedNanos.peekFirst() > WINDOW.toNanos()) {
            mPlacedNanos.removeFirst();
        }
        int others = mInstances.getAsInt() - 1;
        if (mPlacedNanos.isEmpty() || others <= 0) {
            return 0;
        }
        ReportAges ages = mAges.apply(nowNanos);
        int heard = Math.min(others, ages.peers());
        double meanAge = ages.peers() == 0 ? 0 : (double) ages.totalNanos() / ages.peers();
        double unreportedNanos =
                heard * (meanAge + TRANSFER.toNanos())
                        + (others - heard) * (double) UNKNOWN_AGE.toNanos();
        return mPlacedNanos.size() * unreportedNanos / WINDOW.toNanos();
    }
}
