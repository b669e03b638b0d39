package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.tanagergap.testing.PausedClock;

/** Engine that prefills strictly by priority at a fixed rate and decodes for a fixed time. */
final class PriorityEngine {

    private static final Duration STEP = Duration.ofMillis(10);

    private final PausedClock mClock;
    private final UpstreamScheduler mScheduler;
    private final double mTokensPerStep;
    private final Duration mDecode;
    private final TreeSet<Run> mPrefill =
            new TreeSet<>(
                    Comparator.comparingInt((Run r) -> EnginePriority.of(r.mItem))
                            .thenComparingLong(r -> r.mSequence));
    private final List<Run> mDecoding = new ArrayList<>();
    private final Map<String, Double> mPrefilledByRank = new HashMap<>();
    private long mSequence;

    PriorityEngine(PausedClock clock, UpstreamScheduler scheduler, double rate, Duration decode) {
        mClock = clock;
        mScheduler = scheduler;
        mTokensPerStep = rate * STEP.toMillis() / 1000;
        mDecode = decode;
    }

    void run(Duration time, Runnable load) {
        for (long i = 0; i < time.dividedBy(STEP); i++) {
            load.run();
            step();
        }
    }

    double prefilledOf(String rank) {
        return mPrefilledByRank.getOrDefault(rank, 0.0);
    }

    private void step() {
        mScheduler.takeExpired();
        for (WorkItem item : mScheduler.takeDispatchable()) {
            mPrefill.add(new Run(item, mSequence++));
        }
        mClock.advance(STEP);
        double budget = mTokensPerStep;
        while (budget > 0 && !mPrefill.isEmpty()) {
            Run run = mPrefill.first();
            double tokens = Math.min(budget, run.mLeft);
            run.mLeft -= tokens;
            budget -= tokens;
            mPrefilledByRank.merge(run.mItem.policy().rank(), tokens, Double::sum);
            if (run.mLeft <= 0) {
                mPrefill.remove(run);
                run.mEndNanos = mClock.nanoTime() + mDecode.toNanos();
                mDecoding.add(run);
                mScheduler.prefillFinished(run.mItem.attemptId(), run.mItem.cost().promptTokens());
            }
        }
        mDecoding.removeIf(
                run ->
                        run.mEndNanos <= mClock.nanoTime()
                                && mScheduler.release(
                                        run.mItem.attemptId(), run.mItem.cost().maxOutputTokens()));
    }

    private static final class Run {

        private final WorkItem mItem;
        private final long mSequence;
        private double mLeft;
        private long mEndNanos;

        Run(WorkItem item, long sequence) {
            mItem = item;
            mSequence = sequence;
            mLeft = item.cost().promptTokens();
        }
    }
}
