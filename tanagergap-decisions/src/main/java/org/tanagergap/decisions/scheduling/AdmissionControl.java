package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.function.ToDoubleFunction;
import org.tanagergap.api.request.LengthBand;

/** Predicts how long an arriving item would wait for prefill and for memory. */
final class AdmissionControl {

    /** Keeps predictions finite for a rank without a floor below a saturated one. */
    private static final double MIN_SHARE = 0.01;

    /** Allowance for a decrease of the item's share of the engine during its prefill. */
    private static final double PREFILL_MARGIN = 1.5;

    /**
     * Allowance for slower decode steps; with 1.1, 2 to 11 requests missed their deadlines under
     * overload.
     */
    private static final double OUTPUT_MARGIN = 1.25;

    private final RankShares mRanks;
    private final RunningTable mRunning;
    private final MemoryLedger mLedger;

    AdmissionControl(RankShares ranks, RunningTable running, MemoryLedger ledger) {
        mRanks = ranks;
        mRunning = running;
        mLedger = ledger;
    }

    /** Returns the predicted time until an item that arrives now would start. */
    Duration predictedWait(RankQueue rank, int weight, WorkItem item, long nowNanos) {
        LengthBand band = item.lengthBand();
        double share = expectedShare(rank, nowNanos);
        String workspace = item.policy().workspace();

        long prefill = 0;
        if (item.cost().promptTokens() > 0) {
            double queued =
                    workAhead(rank, workspace, weight, share, b -> b.promptTokensUpTo(band));
            prefill = mRunning.rate().nanosFor(mRunning.slots().tokensUpTo(band) + queued);
        }
        double queuedMemory = workAhead(rank, workspace, weight, share, Backlog::memoryTokens);
        double missing = queuedMemory + QueuedItem.memoryTokens(item) - mLedger.free();
        long memory = mRunning.residency().nanosFor(missing, mLedger.capacity());
        return Duration.ofNanos(Math.max(prefill, memory));
    }

    /**
     * Returns the predicted time of the item's prefill and decode in the engine. A part counts as
     * zero when no recent measurement exists for it.
     */
    Duration runTime(WorkItem item, long nowNanos) {
        double prefill = 0;
        if (mRunning.rate().isFresh(nowNanos)) {
            double share = engineShare(item, nowNanos);
            prefill = mRunning.rate().nanosFor(item.cost().promptTokens() / share);
        }
        long output = mRunning.tokenTime().nanosFor(item.cost().maxOutputTokens(), nowNanos);
        return Duration.ofNanos((long) (PREFILL_MARGIN * prefill + OUTPUT_MARGIN * output));
    }

    /** Returns true if an item that starts now is predicted to finish by its deadline. */
    boolean canFinish(WorkItem item, long nowNanos) {
        return runTime(item, nowNanos).toNanos() <= item.deadline().nanos() - nowNanos;
    }

    /**
     * Returns the share of the engine's prefill that work of higher engine priority has left
     * recently.
     */
    private double engineShare(WorkItem item, long nowNanos) {
        int priority = EnginePriority.of(item);
        double floor = MIN_SHARE;
        long above = 0;
        for (RankQueue rank : mRanks.all()) {
            if (rank.name().equals(item.policy().rank())) {
                floor = Math.max(floor, rank.floor());
            } else if (EnginePriority.of(rank.priority(), LengthBand.SHORT) < priority) {
                above += rank.served().sum(nowNanos);
            }
        }
        double possible = mRunning.rate().tokensPerSecond() * mRanks.window().toSeconds();
        return Math.max(floor, 1 - above / possible);
    }

    /**
     * Returns the tokens served before the item: those of more urgent ranks and the fair part of
     * its own rank.
     */
    private double workAhead(
            RankQueue rank,
            String workspace,
            int weight,
            double share,
            ToDoubleFunction<Backlog> measure) {
        double own = ownRankAhead(rank.shares(), workspace, weight, measure);
        double urgent = 0;
        for (RankQueue other : mRanks.all()) {
            if (other.priority() < rank.priority()) {
                urgent += measure.applyAsDouble(other.shares().backlog());
            }
        }
        double byPriority = urgent + own / share;
        return rank.floor() > 0 ? Math.min(byPriority, own / rank.floor()) : byPriority;
    }

    /**
     * Returns the tokens of the rank that are served before new work of the workspace. Fair
     * queueing bounds how much other workspaces are served before this one's queued work.
     */
    private static double ownRankAhead(
            WorkspaceShares shares,
            String workspace,
            int weight,
            ToDoubleFunction<Backlog> measure) {
        WorkspaceFlow flow = shares.flow(workspace).orElse(null);
        if (flow == null || flow.isEmpty()) {
            return 0;
        }
        double fair =
                measure.applyAsDouble(flow.backlog()) * shares.activeWeight() / (double) weight;
        return Math.min(measure.applyAsDouble(shares.backlog()), fair);
    }

    /**
     * Returns the share of service that the rank can expect: the remainder after the floors of
     * other waiting ranks and, while more urgent work waits, at most what that work has left
     * recently, but at least its floor.
     */
    private double expectedShare(RankQueue rank, long nowNanos) {
        double share = 1;
        long urgentServed = 0;
        boolean urgentWaits = false;
        for (RankQueue other : mRanks.all()) {
            if (other == rank) {
                continue;
            }
            if (other.priority() < rank.priority()) {
                urgentServed += other.served().sum(nowNanos);
                urgentWaits |= !other.isEmpty();
            } else if (!other.isEmpty()) {
                share -= other.floor();
            }
        }
        long total = mRanks.totalServed(nowNanos);
        if (urgentWaits && total > 0) {
            share = Math.min(share, 1 - urgentServed / (double) total);
        }
        return Math.max(MIN_SHARE, Math.max(rank.floor(), share));
    }
}
