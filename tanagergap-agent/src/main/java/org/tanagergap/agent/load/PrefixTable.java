package org.tanagergap.agent.load;

import com.codahale.metrics.MetricRegistry;
import java.util.LinkedHashSet;
import java.util.List;
import org.tanagergap.agent.engine.CacheEvent;

/**
 * Recent prefixes that the engine holds. Hashes from requests come before hashes from cache events,
 * because entries route by the former and engines may hash blocks in another way. Missing events
 * leave entries that only mislead routing, so gaps are counted but need no recovery.
 */
public final class PrefixTable {

    private static final int MAX_PREFIXES = 32;

    private final LinkedHashSet<String> mFromRequests = new LinkedHashSet<>();
    private final LinkedHashSet<String> mFromEvents = new LinkedHashSet<>();
    private final MetricRegistry mMetrics;
    private long mLastSequence = -1;

    public PrefixTable(MetricRegistry metrics) {
        mMetrics = metrics;
    }

    /** Applies an event of the engine's cache; repeated and late events are ignored. */
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
    }

    /** Forgets everything, because the engine may have restarted. */
    public synchronized void clear() {
        mLastSequence = -1;
        mFromEvents.clear();
        mFromRequests.clear();
    }

    /** Records the prefix of a request that the engine has just prefilled. */
    public synchronized void prefilled(String prefixHash) {
        if (!prefixHash.isEmpty()) {
            add(mFromRequests, prefixHash);
        }
    }

    /** At most 32 hashes. */
    public synchronized List<String> hashes() {
        LinkedHashSet<String> hashes = new LinkedHashSet<>(mFromRequests);
        hashes.addAll(mFromEvents);
        return hashes.stream().limit(MAX_PREFIXES).toList();
    }

    private static void add(LinkedHashSet<String> hashes, String hash) {
        hashes.remove(hash);
        hashes.add(hash);
        if (hashes.size() > MAX_PREFIXES) {
            hashes.remove(hashes.iterator().next());
        }
    }
}
