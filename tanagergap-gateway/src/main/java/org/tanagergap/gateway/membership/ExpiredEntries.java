package org.tanagergap.gateway.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.replication.StoreOutages;

/**
 * Upstreams that stay in use although their entries were removed, because the leases of these may
 * have expired while the store was unavailable. Each one ends with its grace period. Confined to
 * the event loop.
 */
final class ExpiredEntries {

    private static final Duration GRACE = StoreOutages.EXPIRY_GRACE;

    /** A slow store answers in 0.3 s. */
    private static final Duration REFRESH_LEAD = Duration.ofMillis(300);

    /** The end of the outage restarts the grace period; this is for one whose end is not seen. */
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(200);

    private final RuntimeClock mClock;
    private final Consumer<String> mGraceEnded;
    private final Map<String, Long> mGraceStartNanos = new HashMap<>();
    private ExpiryCheck mCheck = ExpiryCheck.none();
    private OptionalLong mStoreRecoveredNanos = OptionalLong.empty();
    private Timer mTimer = () -> {};

    /**
     * Creates an empty set.
     *
     * @param graceEnded receives the identifier of each upstream whose entry has not returned
     */
    ExpiredEntries(RuntimeClock clock, Consumer<String> graceEnded) {
        mClock = clock;
        mGraceEnded = graceEnded;
    }

    void checkWith(ExpiryCheck check) {
        mCheck = check;
    }

    /**
     * Adds an upstream whose entry was removed; its grace period goes on if it has begun.
     *
     * @return true if it was not there
     */
    boolean add(String id) {
        boolean added = mGraceStartNanos.putIfAbsent(id, graceStartNanos()) == null;
        scheduleEnd();
        return added;
    }

    /**
     * Removes an upstream whose entry has returned or that is gone.
     *
     * @return true if it was there
     */
    boolean remove(String id) {
        return mGraceStartNanos.remove(id) != null;
    }

    int size() {
        return mGraceStartNanos.size();
    }

    /** Restarts the grace periods, which begin when the store is available again. */
    void storeRecovered(long atNanos) {
        mStoreRecoveredNanos = OptionalLong.of(atNanos);
        mGraceStartNanos.replaceAll((id, start) -> atNanos);
        scheduleEnd();
    }

    /** The grace period also begins at the store's recovery for removals that are seen later. */
    private long graceStartNanos() {
        long now = mClock.nanoTime();
        long recovered = mStoreRecoveredNanos.orElse(now);
        return now - recovered < GRACE.toNanos() ? recovered : now;
    }

    private void scheduleEnd() {
        mTimer.cancel();
        mGraceStartNanos.values().stream()
                .min(Long::compare)
                .map(start -> GRACE.minusNanos(mClock.nanoTime() - start))
                .ifPresent(this::scheduleEnd);
    }

    private void scheduleEnd(Duration left) {
        Duration untilRefresh = left.minus(REFRESH_LEAD);
        if (untilRefresh.isNegative()) {
            mTimer = mClock.schedule(left, this::endGracePeriods);
            return;
        }
        mTimer =
                mClock.schedule(
                        untilRefresh,
                        () -> {
                            mTimer = mClock.schedule(REFRESH_LEAD, this::endGracePeriods);
                            mCheck.refresh();
                        });
    }

    private void endGracePeriods() {
        if (mCheck.isOutage()) {
            mTimer = mClock.schedule(RECHECK_INTERVAL, this::endGracePeriods);
            return;
        }
        long now = mClock.nanoTime();
        List<String> ended =
                mGraceStartNanos.entrySet().stream()
                        .filter(entry -> now - entry.getValue() >= GRACE.toNanos())
                        .map(Map.Entry::getKey)
                        .toList();
        mGraceStartNanos.keySet().removeAll(ended);
        ended.forEach(mGraceEnded);
        scheduleEnd();
    }
}
