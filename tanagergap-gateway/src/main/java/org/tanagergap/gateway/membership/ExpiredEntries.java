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

    private final RuntimeClock mClock;
    private final Consumer<String> mGraceEnded;
    private final Map<String, Long> mGraceStartNanos = new HashMap<>();
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

    /** Adds an upstream whose entry was removed; its grace period goes on if it has begun. */
    void add(String id) {
        mGraceStartNanos.putIfAbsent(id, graceStartNanos());
        scheduleEnd();
    }

    /** Removes an upstream whose entry has returned or that is gone. */
    void remove(String id) {
        mGraceStartNanos.remove(id);
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
                .ifPresent(left -> mTimer = mClock.schedule(left, this::endGracePeriods));
    }

    private void endGracePeriods() {
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
