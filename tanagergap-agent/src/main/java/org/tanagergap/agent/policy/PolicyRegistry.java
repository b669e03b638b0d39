package org.tanagergap.agent.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.protocol.v1.RankPolicy;

/**
 * Scheduling properties of each workspace and each rank, with the highest configuration version
 * received. Requests with an older stamp, from an entry with an older configuration, are scheduled
 * by the newer properties.
 */
public final class PolicyRegistry {

    private static final Duration WEIGHT_RETENTION = Duration.ofMinutes(10);

    /** Stale weights are evicted when this many workspaces were added since the last eviction. */
    private static final int WEIGHTS_PER_EVICTION = 256;

    private final RuntimeClock mClock;
    private final Map<String, Weight> mWeights = new HashMap<>();
    private final Map<String, Rank> mRanks = new HashMap<>();
    private final AtomicLong mVersion = new AtomicLong();
    private int mNextEvictionSize = WEIGHTS_PER_EVICTION;

    private record Weight(long version, int weight, long lastUsedNanos) {}

    private record Rank(long version, int priority, int floorPercent) {}

    public PolicyRegistry(RuntimeClock clock) {
        mClock = clock;
    }

    /** Configuration version in effect. */
    public long version() {
        return mVersion.get();
    }

    /** Applies the ranks of a configuration; returns false if its version is not higher. */
    public synchronized boolean apply(long version, List<RankPolicy> ranks) {
        if (version <= mVersion.get()) {
            return false;
        }
        mVersion.set(version);
        for (RankPolicy rank : ranks) {
            mRanks.put(
                    rank.getName(), new Rank(version, rank.getPriority(), rank.getFloorPercent()));
        }
        return true;
    }

    /**
     * Records the properties of a stamp where they are newer and returns the stamp to schedule by.
     */
    public synchronized PolicyStamp effective(PolicyStamp stamp) {
        Weight weight = mWeights.get(stamp.workspace());
        boolean newer = weight == null || stamp.configurationVersion() >= weight.version();
        weight =
                new Weight(
                        newer ? stamp.configurationVersion() : weight.version(),
                        newer ? stamp.weight() : weight.weight(),
                        mClock.nanoTime());
        mWeights.put(stamp.workspace(), weight);
        Rank rank = mRanks.get(stamp.rank());
        if (rank == null || stamp.configurationVersion() > rank.version()) {
            rank =
                    new Rank(
                            stamp.configurationVersion(),
                            stamp.rankPriority(),
                            stamp.rankFloorPercent());
            mRanks.put(stamp.rank(), rank);
        }
        evictStaleWeights();
        return new PolicyStamp(
                Math.max(weight.version(), rank.version()),
                stamp.workspace(),
                weight.weight(),
                stamp.rank(),
                rank.priority(),
                rank.floorPercent());
    }

    private void evictStaleWeights() {
        if (mWeights.size() >= mNextEvictionSize) {
            long oldest = mClock.nanoTime() - WEIGHT_RETENTION.toNanos();
            mWeights.values().removeIf(w -> w.lastUsedNanos() - oldest < 0);
            mNextEvictionSize = mWeights.size() + WEIGHTS_PER_EVICTION;
        }
    }
}
