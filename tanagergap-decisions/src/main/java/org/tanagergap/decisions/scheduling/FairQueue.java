package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.decisions.policy.PolicyStamp;

/** Queue of ranks, of workspaces within a rank, and of items within a workspace. */
final class FairQueue {

    private final RankShares mRanks;
    private final Map<AttemptId, QueuedItem> mByAttempt = new HashMap<>();
    private final TreeSet<QueuedItem> mByExpiry = new TreeSet<>(QueuedItem.BY_EXPIRY);
    private final Map<String, Integer> mCountByWorkspace = new HashMap<>();

    FairQueue(Duration floorWindow) {
        mRanks = new RankShares(floorWindow);
    }

    RankShares ranks() {
        return mRanks;
    }

    RankQueue updateRank(PolicyStamp stamp) {
        return mRanks.updateRank(stamp);
    }

    int size() {
        return mByAttempt.size();
    }

    int queuedOf(String workspace) {
        return mCountByWorkspace.getOrDefault(workspace, 0);
    }

    boolean contains(AttemptId attempt) {
        return mByAttempt.containsKey(attempt);
    }

    Optional<QueuedItem> find(AttemptId attempt) {
        return Optional.ofNullable(mByAttempt.get(attempt));
    }

    void add(QueuedItem queued, int weight) {
        mByAttempt.put(queued.item().attemptId(), queued);
        mByExpiry.add(queued);
        mCountByWorkspace.merge(queued.workspace(), 1, Integer::sum);
        mRanks.rank(queued.rank()).shares().add(queued, weight);
    }

    /** Removes an item that will not run. */
    Optional<QueuedItem> remove(AttemptId attempt) {
        QueuedItem queued = mByAttempt.get(attempt);
        if (queued == null) {
            return Optional.empty();
        }
        removeFromIndexes(queued);
        mRanks.rank(queued.rank()).shares().remove(queued);
        return Optional.of(queued);
    }

    /** Returns the next item in fair order that the gate allows to start. */
    Optional<QueuedItem> next(long nowNanos, DispatchGate gate) {
        boolean isFirstRank = true;
        for (RankQueue rank : mRanks.order(nowNanos)) {
            for (QueuedItem queued : candidates(rank.shares())) {
                if (gate.canStart(queued, isFirstRank)) {
                    return Optional.of(queued);
                }
            }
            isFirstRank = false;
        }
        return Optional.empty();
    }

    /** Removes an item that starts and charges its rank and workspace. */
    void dispatch(QueuedItem queued, long nowNanos) {
        removeFromIndexes(queued);
        RankQueue rank = mRanks.rank(queued.rank());
        rank.shares().dispatch(queued);
        // The prompt is charged to the rank while the engine prefills it.
        rank.served().add(nowNanos, queued.memoryTokens() - queued.promptTokens());
    }

    /** Refunds the unused part of a charge. */
    void refund(PolicyStamp stamp, long tokens, long nowNanos) {
        RankQueue rank = mRanks.rank(stamp.rank());
        rank.shares().refund(stamp.workspace(), tokens);
        rank.served().add(nowNanos, -tokens);
    }

    /** Returns the item with the earliest expiry if it has expired. */
    Optional<QueuedItem> firstExpired(long nowNanos) {
        return mByExpiry.isEmpty() || mByExpiry.first().expiryNanos() > nowNanos
                ? Optional.empty()
                : Optional.of(mByExpiry.first());
    }

    /**
     * Returns the item to remove from a queue with one item too many: the newest of the workspace
     * furthest above its share in the least urgent rank that uses more of the queue than its floor.
     * Selecting the rank first keeps an overload of a less urgent rank from displacing urgent work.
     */
    QueuedItem victim(int maxQueued) {
        RankQueue rank =
                mRanks.all().stream()
                        .filter(r -> r.shares().backlog().count() > r.floor() * maxQueued)
                        .max(Comparator.comparingInt(RankQueue::priority))
                        .orElseGet(this::largestRank);
        return rank.shares().newestOfMostExcessive().orElseThrow();
    }

    Map<String, RankLoad> load() {
        Map<String, RankLoad> load = new LinkedHashMap<>();
        for (RankQueue rank : mRanks.all()) {
            Backlog backlog = rank.shares().backlog();
            if (backlog.count() > 0) {
                load.put(rank.name(), new RankLoad(backlog.count(), backlog.memoryTokens()));
            }
        }
        return load;
    }

    /** Adds the prompt tokens of queued items. */
    PrefillBacklog addPromptTokens(PrefillBacklog running) {
        PrefillBacklog sum = running;
        for (RankQueue rank : mRanks.all()) {
            for (LengthBand band : LengthBand.values()) {
                sum = sum.plus(band, rank.shares().backlog().promptTokens(band));
            }
        }
        return sum;
    }

    /** Returns the items larger than the memory, which can never start. */
    List<QueuedItem> largerThan(long memoryTokens) {
        return mByAttempt.values().stream().filter(w -> w.memoryTokens() > memoryTokens).toList();
    }

    private RankQueue largestRank() {
        return mRanks.all().stream()
                .max(Comparator.comparingInt(r -> r.shares().backlog().count()))
                .orElseThrow();
    }

    private static List<QueuedItem> candidates(WorkspaceShares shares) {
        List<QueuedItem> candidates = new ArrayList<>(LengthBand.values().length);
        for (LengthBand band : LengthBand.values()) {
            shares.next(band).ifPresent(candidates::add);
        }
        candidates.sort(
                Comparator.comparingDouble((QueuedItem w) -> shares.tag(w))
                        .thenComparing(QueuedItem.BY_URGENCY));
        return candidates;
    }

    private void removeFromIndexes(QueuedItem queued) {
        mByAttempt.remove(queued.item().attemptId());
        mByExpiry.remove(queued);
        mCountByWorkspace.computeIfPresent(
                queued.workspace(), (name, count) -> count == 1 ? null : count - 1);
    }
}
