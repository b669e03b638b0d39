package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.tanagergap.decisions.policy.PolicyStamp;

/**
 * Ranks and the order in which they are served: those below their floor over the window first, the
 * one furthest below at the head, then by priority.
 */
final class RankShares {

    private final Map<String, RankQueue> mRanks = new TreeMap<>();
    private final Duration mWindow;

    RankShares(Duration window) {
        mWindow = window;
    }

    /** Returns the queue of the stamp's rank with updated properties. */
    RankQueue updateRank(PolicyStamp stamp) {
        RankQueue rank = mRanks.computeIfAbsent(stamp.rank(), n -> new RankQueue(n, mWindow));
        rank.updatePolicy(stamp);
        return rank;
    }

    Duration window() {
        return mWindow;
    }

    RankQueue rank(String name) {
        return mRanks.get(name);
    }

    Collection<RankQueue> all() {
        return mRanks.values();
    }

    /** Returns the ranks with queued work in the order in which they are served. */
    List<RankQueue> order(long nowNanos) {
        long total = totalServed(nowNanos);
        List<RankQueue> order = new ArrayList<>();
        for (RankQueue rank : mRanks.values()) {
            if (!rank.isEmpty()) {
                order.add(rank);
            }
        }
        order.sort(
                Comparator.comparingDouble((RankQueue r) -> satisfaction(r, nowNanos, total))
                        .thenComparingInt(RankQueue::priority));
        return order;
    }

    long totalServed(long nowNanos) {
        long total = 0;
        for (RankQueue rank : mRanks.values()) {
            total += rank.served().sum(nowNanos);
        }
        return total;
    }

    /** Returns the fraction of its floor that a rank has received, at most 1. */
    private static double satisfaction(RankQueue rank, long nowNanos, long total) {
        double guaranteed = rank.floor() * total;
        return guaranteed <= 0 ? 1 : Math.min(1, rank.served().sum(nowNanos) / guaranteed);
    }
}
