package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Memory held for segments of prompts that span several engines. A hold that repeatedly finds no
 * memory gains a claim, so that small work cannot keep it waiting forever.
 */
final class HoldTable {

    /** A hold that was not retried for this long is given up and loses its claim. */
    private static final Duration RETRY_GAP = Duration.ofSeconds(2);

    private final MemoryLedger mLedger;
    private final ClaimPolicy mClaims;
    private final Map<String, Hold> mHolds = new HashMap<>();
    private final TreeSet<Hold> mByExpiry =
            new TreeSet<>(Comparator.comparingLong(Hold::expiryNanos).thenComparing(Hold::id));
    private final Map<String, Attempt> mRefused = new HashMap<>();

    HoldTable(MemoryLedger ledger, ClaimPolicy claims) {
        mLedger = ledger;
        mClaims = claims;
    }

    /** Reserves or extends; a known hold keeps its size unless the new one fits. */
    boolean hold(String id, long tokens, Duration expiresIn, long nowNanos) {
        long expiry = nowNanos + expiresIn.toNanos();
        Hold known = mHolds.get(id);
        if (known != null) {
            return extend(known, tokens, expiry);
        }
        if (!mLedger.reserve(new HoldOwner(id), tokens, true)) {
            refused(id, tokens, nowNanos);
            return false;
        }
        mRefused.remove(id);
        put(new Hold(id, tokens, expiry));
        return true;
    }

    boolean release(String id) {
        giveUp(id);
        Hold hold = mHolds.remove(id);
        if (hold == null) {
            return false;
        }
        mByExpiry.remove(hold);
        mLedger.release(new HoldOwner(id));
        return true;
    }

    /** Releases lapsed holds and ends claims of holds that are no longer retried. */
    List<String> expire(long nowNanos) {
        List<String> expired = new ArrayList<>();
        while (!mByExpiry.isEmpty() && mByExpiry.first().expiryNanos() <= nowNanos) {
            String id = mByExpiry.first().id();
            release(id);
            expired.add(id);
        }
        List<String> silent = new ArrayList<>();
        mRefused.forEach(
                (id, attempt) -> {
                    if (nowNanos - attempt.lastNanos() > RETRY_GAP.toNanos()) {
                        silent.add(id);
                    }
                });
        silent.forEach(this::giveUp);
        return expired;
    }

    boolean contains(String id) {
        return mHolds.containsKey(id);
    }

    private boolean extend(Hold known, long tokens, long expiry) {
        HoldOwner owner = new HoldOwner(known.id());
        if (tokens > known.tokens() && tokens - known.tokens() > mLedger.available(owner)) {
            return false;
        }
        mByExpiry.remove(known);
        put(new Hold(known.id(), mLedger.resize(owner, tokens), expiry));
        return true;
    }

    private void put(Hold hold) {
        mHolds.put(hold.id(), hold);
        mByExpiry.add(hold);
    }

    private void refused(String id, long tokens, long nowNanos) {
        if (tokens > mLedger.capacity()) {
            return;
        }
        Attempt first = mRefused.get(id);
        long firstNanos = first == null ? nowNanos : first.firstNanos();
        mRefused.put(id, new Attempt(firstNanos, nowNanos));
        mClaims.blocked(new HoldOwner(id), tokens, true, nowNanos - firstNanos);
    }

    private void giveUp(String id) {
        mRefused.remove(id);
        mLedger.endClaim(new HoldOwner(id));
    }

    private record HoldOwner(String id) {}

    private record Hold(String id, long tokens, long expiryNanos) {}

    private record Attempt(long firstNanos, long lastNanos) {}
}
