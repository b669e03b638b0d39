package org.tanagergap.agent.load;

import com.codahale.metrics.MetricRegistry;
import java.security.SecureRandom;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.tanagergap.agent.engine.CacheEvent;

/**
 * Recent prefixes in the engine's cache. Hashes from requests come before hashes from cache events,
 * because entries route by the former and engines may hash blocks differently. Lost events leave
 * stale hashes, which only make routing less accurate, so gaps are counted but not repaired.
 */
public final class PrefixTable {

    private static final int MAX_PREFIXES = 32;

    /**
     * The first revision is random, so that a restarted agent does not reuse a revision that
     * entries still have. Numbers below 2^27 take at most four bytes on the wire.
     */
    private static final int FIRST_REVISION_BOUND = 1 << 27;

    private final LinkedHashSet<String> mFromRequests = new LinkedHashSet<>();
    private final LinkedHashSet<String> mFromEvents = new LinkedHashSet<>();
    private final MetricRegistry mMetrics;
    private long mLastSequence = -1;
    private Set<String> mHashes = Set.of();
    private long mRevision = 1 + new SecureRandom().nextInt(FIRST_REVISION_BOUND);

    public PrefixTable(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    /** Applies an event of the engine's cache; repeated and out-of-order events are ignored. */
    public synchronized void apply(CacheEvent event) {
        if (mLastSequence >= 0 && event.sequence() <= mLastSequence) {
            return;
        }
        if (mLastSequence >= 0 && event.sequence() > mLastSequence + 1) {
            mMetrics.counter("agent_cache_event_gaps_total").inc();
        }
        mLastSequence = event.sequence();
        if (event.stored()) {
            add(mFromEvents, event.prefixHash());
        } else {
            mFromEvents.remove(event.prefixHash());
            mFromRequests.remove(event.prefixHash());
        }
        updateRevision();
    }

    /** Removes all hashes, because the engine may have restarted with an empty cache. */
    public synchronized void clear() {
        mLastSequence = -1;
        mFromEvents.clear();
        mFromRequests.clear();
        updateRevision();
    }

    /** Records the prefix of a request that the engine has just prefilled. */
    public synchronized void recordPrefill(String prefixHash) {
        if (!prefixHash.isEmpty()) {
            add(mFromRequests, prefixHash);
            updateRevision();
        }
    }

    /** Returns the current hashes with their revision. */
    synchronized PrefixSnapshot snapshot() {
        return new PrefixSnapshot(mRevision, List.copyOf(mHashes));
    }

    /** Increments the revision if the set of hashes has changed, regardless of their order. */
    private void updateRevision() {
        LinkedHashSet<String> all = new LinkedHashSet<>(mFromRequests);
        all.addAll(mFromEvents);
        Set<String> hashes = all.stream().limit(MAX_PREFIXES).collect(Collectors.toSet());
        if (!hashes.equals(mHashes)) {
            mHashes = hashes;
            mRevision++;
        }
    }

    private static void add(LinkedHashSet<String> hashes, String hash) {
        hashes.remove(hash);
        hashes.add(hash);
        if (hashes.size() > MAX_PREFIXES) {
            hashes.remove(hashes.iterator().next());
        }
    }
}
