package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Memory reservations for segments of prompts that span several engines. A reservation that
 * repeatedly finds no memory becomes pending, so that small work cannot keep it waiting forever.
 */
final class SegmentReservationTable {

    /**
     * A refused reservation that is not retried for this long is abandoned and no longer pending.
     */
    private static final Duration RETRY_TIMEOUT = Duration.ofSeconds(2);

    private final MemoryLedger mLedger;
    private final PendingReservationPolicy mPending;
    private final Map<String, SegmentReservation> mReservations = new HashMap<>();
    private final TreeSet<SegmentReservation> mByExpiry =
            new TreeSet<>(
                    Comparator.comparingLong(SegmentReservation::expiryNanos)
                            .thenComparing(SegmentReservation::id));
    private final Map<String, Refusal> mRefusals = new HashMap<>();

    SegmentReservationTable(MemoryLedger ledger, PendingReservationPolicy pending) {
        mLedger = ledger;
        mPending = pending;
    }

    /**
     * Reserves memory or extends the expiry; an existing reservation keeps its size unless the new
     * one fits.
     */
    boolean reserve(String id, long tokens, Duration expiresIn, long nowNanos) {
        long expiry = nowNanos + expiresIn.toNanos();
        SegmentReservation existing = mReservations.get(id);
        if (existing != null) {
            return extend(existing, tokens, expiry);
        }
        if (!mLedger.reserve(new SegmentOwner(id), tokens, true)) {
            recordRefusal(id, tokens, nowNanos);
            return false;
        }
        mRefusals.remove(id);
        put(new SegmentReservation(id, tokens, expiry));
        return true;
    }

    boolean release(String id) {
        cancelPending(id);
        SegmentReservation reservation = mReservations.remove(id);
        if (reservation == null) {
            return false;
        }
        mByExpiry.remove(reservation);
        mLedger.release(new SegmentOwner(id));
        return true;
    }

    /** Releases expired reservations and cancels pending ones that are no longer retried. */
    List<String> expire(long nowNanos) {
        List<String> expired = new ArrayList<>();
        while (!mByExpiry.isEmpty() && mByExpiry.first().expiryNanos() <= nowNanos) {
            String id = mByExpiry.first().id();
            release(id);
            expired.add(id);
        }
        List<String> abandoned = new ArrayList<>();
        mRefusals.forEach(
                (id, refusal) -> {
                    if (nowNanos - refusal.lastNanos() > RETRY_TIMEOUT.toNanos()) {
                        abandoned.add(id);
                    }
                });
        abandoned.forEach(this::cancelPending);
        return expired;
    }

    boolean contains(String id) {
        return mReservations.containsKey(id);
    }

    private boolean extend(SegmentReservation existing, long tokens, long expiry) {
        SegmentOwner owner = new SegmentOwner(existing.id());
        if (tokens > existing.tokens() && tokens - existing.tokens() > mLedger.available(owner)) {
            return false;
        }
        mByExpiry.remove(existing);
        put(new SegmentReservation(existing.id(), mLedger.resize(owner, tokens), expiry));
        return true;
    }

    private void put(SegmentReservation reservation) {
        mReservations.put(reservation.id(), reservation);
        mByExpiry.add(reservation);
    }

    private void recordRefusal(String id, long tokens, long nowNanos) {
        if (tokens > mLedger.capacity()) {
            return;
        }
        Refusal first = mRefusals.get(id);
        long firstNanos = first == null ? nowNanos : first.firstNanos();
        mRefusals.put(id, new Refusal(firstNanos, nowNanos));
        mPending.blocked(new SegmentOwner(id), tokens, true, nowNanos - firstNanos);
    }

    private void cancelPending(String id) {
        mRefusals.remove(id);
        mLedger.cancelPending(new SegmentOwner(id));
    }

    private record SegmentOwner(String id) {}

    private record SegmentReservation(String id, long tokens, long expiryNanos) {}

    private record Refusal(long firstNanos, long lastNanos) {}
}
