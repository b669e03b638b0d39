package org.tanagergap.decisions.scheduling;

import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Estimates the progress of each prompt in prefill from the learnt rate and the engine's priority
 * order, and charges the service to ranks as it is provided. Ranks with prompts in prefill are
 * guaranteed their floors: work that would run before a rank below its floor is delayed.
 */
final class PrefillProgress {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MIN_JOINED_NANOS = 1_000_000_000L;

    private final TreeSet<RunningItem> mRuns = new TreeSet<>(RunningItem.BY_ENGINE_ORDER);
    private final NavigableMap<Integer, Served> mServed = new TreeMap<>();
    private final PrefillRateEstimator mRate;
    private final RankShares mRanks;
    private long mLastNanos;

    PrefillProgress(PrefillRateEstimator rate, RankShares ranks) {
        mRate = rate;
        mRanks = ranks;
    }

    void started(RunningItem run, long nowNanos) {
        advance(nowNanos);
        run.setServedBefore(servedUpTo(run.priority()), mRuns.isEmpty());
        mRuns.add(run);
        run.rank().floorCredit().prefillStarted();
    }

    /** Records the first token of a prompt and updates the learnt prefill rate. */
    void finished(RunningItem run, long nowNanos, long promptTokens) {
        advance(nowNanos);
        charge(run, Math.max(0, run.prefillLeft()), nowNanos);
        Served own = mServed.computeIfAbsent(run.priority(), p -> new Served());
        double total = servedUpTo(run.priority());
        // Prompts of one priority run one after another: a sample starts at the end of the previous
        // one.
        boolean followsOther = own.mFinishedNanos > run.dispatchedNanos();
        long since = followsOther ? own.mFinishedNanos : run.dispatchedNanos();
        double before = followsOther ? own.mTotalAtFinish : run.servedBefore();
        double correction = promptTokens - run.item().cost().promptTokens();
        long interval = nowNanos - since;
        // A prompt that joins others waits for the current step, which distorts short intervals.
        if (followsOther || run.startedAlone() || interval >= MIN_JOINED_NANOS) {
            mRate.sample(total - before + correction, interval, nowNanos, promptTokens);
        }
        own.mFinishedNanos = nowNanos;
        own.mTotalAtFinish = total;
    }

    /** Removes a prompt whose prefill finished or was cancelled. */
    void ended(RunningItem run, long nowNanos) {
        advance(nowNanos);
        if (mRuns.remove(run)) {
            run.rank().floorCredit().prefillEnded();
        }
    }

    /**
     * Returns true if new work of the rank and engine priority may start: the prompt that the
     * engine would otherwise prefill next must not belong to a rank below its floor.
     */
    boolean keepsFloors(RankQueue rank, int priority) {
        for (RunningItem run : mRuns) {
            if (run.priority() > priority) {
                return run.rank() == rank
                        || !run.rank().floorCredit().isBelowFloor()
                        || rank.floorCredit().isBelowFloor();
            }
        }
        return true;
    }

    void advance(long nowNanos) {
        double budget = mRate.tokensPerSecond() * ((nowNanos - mLastNanos) / NANOS_PER_SECOND);
        mLastNanos = nowNanos;
        for (RunningItem run : mRuns) {
            if (budget <= 0) {
                return;
            }
            double tokens = Math.min(budget, run.prefillLeft());
            charge(run, tokens, nowNanos);
            budget -= tokens;
        }
    }

    private void charge(RunningItem run, double tokens, long nowNanos) {
        if (tokens <= 0) {
            return;
        }
        run.prefilled(tokens);
        mServed.computeIfAbsent(run.priority(), p -> new Served()).mTokens += tokens;
        run.rank().served().add(nowNanos, Math.round(tokens));
        for (RankQueue rank : mRanks.all()) {
            double own = rank == run.rank() ? tokens : 0;
            rank.floorCredit().served(own, tokens, rank.floor(), mRate.tokensPerSecond());
        }
    }

    private double servedUpTo(int priority) {
        double tokens = 0;
        for (Served served : mServed.headMap(priority, true).values()) {
            tokens += served.mTokens;
        }
        return tokens;
    }

    /** Tokens prefilled at one engine priority. */
    private static final class Served {

        private double mTokens;
        private double mTotalAtFinish;
        private long mFinishedNanos = Long.MIN_VALUE;
    }
}
