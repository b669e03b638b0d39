package org.tanagergap.state.intent;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** State of the idempotency keys of one shard, built from its log; not thread-safe. */
final class IntentTable {

    // Record ages are tracked per slice of the retention, as a day may have millions of records.
    private static final int SLICES_PER_RETENTION = 288;

    private final long mRetentionMillis;
    private final Map<IntentKey, IntentEntry> mEntries = new HashMap<>();
    private final Deque<AgeSlice> mSlices = new ArrayDeque<>();

    IntentTable(long retentionMillis) {
        mRetentionMillis = retentionMillis;
    }

    private record AgeSlice(long firstNumber, long startMillis, long newestMillis) {}

    Optional<IntentEntry> find(IntentKey key) {
        return Optional.ofNullable(mEntries.get(key));
    }

    /** Applies a record; records must be applied in the order of their numbers. */
    void merge(long number, IntentRecord record, long nowNanos) {
        updateSlices(number, record.writtenAtMillis());
        for (IntentEvent event : record.events()) {
            if (event instanceof IntentEvent.Intent intent) {
                // Its writer had read all earlier records, so the key was available.
                long deadline = nowNanos + intent.timeToDeadlineMillis() * 1_000_000;
                IntentEntry entry =
                        new IntentEntry(
                                intent.bodyHash(),
                                intent.attempt(),
                                deadline,
                                number,
                                OptionalLong.empty());
                mEntries.put(intent.key(), entry);
            } else if (event instanceof IntentEvent.Outcome outcome) {
                mEntries.computeIfPresent(
                        outcome.key(),
                        (key, e) -> e.ownedBy(outcome.attempt()) ? e.withOutcome(number) : e);
            } else {
                mEntries.computeIfPresent(
                        event.key(), (key, e) -> e.ownedBy(event.attempt()) ? null : e);
            }
        }
    }

    /** Removes keys whose intent is below the floor, which a new reader of the log cannot see. */
    void removeBelow(long floor) {
        mEntries.values().removeIf(entry -> entry.number() < floor);
        while (mSlices.size() > 1 && secondSlice().firstNumber() <= floor) {
            mSlices.removeFirst();
        }
    }

    /** Returns the lowest number to keep; all records below it are older than the retention. */
    long retentionFloor(long floor, long nowMillis) {
        long cutoff = nowMillis - mRetentionMillis;
        long keep = floor;
        AgeSlice previous = null;
        for (AgeSlice slice : mSlices) {
            if (previous != null && previous.newestMillis() < cutoff) {
                keep = Math.max(keep, slice.firstNumber());
            } else if (previous != null) {
                break;
            }
            previous = slice;
        }
        return keep;
    }

    private AgeSlice secondSlice() {
        return mSlices.stream().skip(1).findFirst().orElseThrow();
    }

    private void updateSlices(long number, long writtenAtMillis) {
        AgeSlice last = mSlices.peekLast();
        long sliceMillis = mRetentionMillis / SLICES_PER_RETENTION;
        if (last == null || writtenAtMillis > last.startMillis() + sliceMillis) {
            mSlices.addLast(new AgeSlice(number, writtenAtMillis, writtenAtMillis));
        } else if (writtenAtMillis > last.newestMillis()) {
            mSlices.removeLast();
            mSlices.addLast(new AgeSlice(last.firstNumber(), last.startMillis(), writtenAtMillis));
        }
    }
}
