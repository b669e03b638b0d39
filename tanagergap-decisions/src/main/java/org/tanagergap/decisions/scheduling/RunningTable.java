package org.tanagergap.decisions.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.request.AttemptId;

/** Attempts that the engine runs, and the rates learnt from them. */
final class RunningTable {

    /**
     * Consecutive lists without a run after which its reservation is released; a single list may be
     * outdated.
     */
    private static final int MISSING_LISTS_BEFORE_RELEASE = 2;

    private final SchedulerSettings mSettings;
    private final PrefillRateEstimator mRate;
    private final ResidencyEstimator mResidency = new ResidencyEstimator();
    private final TokenTimeEstimator mTokenTime = new TokenTimeEstimator();
    private final PrefillSlots mSlots;
    private final PrefillProgress mProgress;
    private final Map<AttemptId, RunningItem> mRunning = new HashMap<>();
    private long mSequence;

    RunningTable(SchedulerSettings settings, RankShares ranks) {
        mSettings = settings;
        mRate = new PrefillRateEstimator(settings.initialPrefillTokensPerSecond());
        mSlots = new PrefillSlots(settings, mRate);
        mProgress = new PrefillProgress(mRate, ranks);
    }

    PrefillRateEstimator rate() {
        return mRate;
    }

    ResidencyEstimator residency() {
        return mResidency;
    }

    TokenTimeEstimator tokenTime() {
        return mTokenTime;
    }

    PrefillSlots slots() {
        return mSlots;
    }

    PrefillProgress progress() {
        return mProgress;
    }

    int size() {
        return mRunning.size();
    }

    boolean contains(AttemptId attempt) {
        return mRunning.containsKey(attempt);
    }

    /**
     * Returns true if the engine's prefill queue has room for the item and all ranks keep their
     * floors.
     */
    boolean canStart(QueuedItem queued, RankQueue rank) {
        return queued.promptTokens() == 0
                || (mSlots.canStart(queued.band())
                        && mProgress.keepsFloors(rank, EnginePriority.of(queued.item())));
    }

    void start(QueuedItem queued, RankQueue rank, long nowNanos) {
        RunningItem run = new RunningItem(queued, rank, mSequence++, nowNanos);
        mSlots.started(queued.band(), queued.promptTokens());
        mProgress.started(run, nowNanos);
        mRunning.put(queued.item().attemptId(), run);
    }

    /**
     * Records the first token; empty when the attempt is not running or had its first token before.
     */
    Optional<RunningItem> firstToken(AttemptId attempt, long promptTokens, long nowNanos) {
        RunningItem run = mRunning.get(attempt);
        if (run == null || !run.isPrefilling()) {
            return Optional.empty();
        }
        mProgress.finished(run, nowNanos, promptTokens);
        endPrefill(run, nowNanos);
        return Optional.of(run);
    }

    /** Leaves a time without tokens out of the time per output token. */
    void outputPaused(AttemptId attempt, long pauseNanos) {
        RunningItem run = mRunning.get(attempt);
        if (run != null && !run.isPrefilling()) {
            run.outputPaused(pauseNanos);
        }
    }

    Optional<RunningItem> remove(AttemptId attempt, long outputTokens, long nowNanos) {
        RunningItem run = mRunning.remove(attempt);
        if (run == null) {
            return Optional.empty();
        }
        if (run.isPrefilling()) {
            endPrefill(run, nowNanos);
        } else {
            mTokenTime.released(run.outputStartNanos(), nowNanos, outputTokens);
        }
        return Optional.of(run);
    }

    /**
     * Compares the running attempts with the runs that the engine lists. The caller has to end the
     * released attempts.
     */
    ReconcileResult compare(
            List<EngineRun> engineRuns, SegmentReservationTable segments, long nowNanos) {
        Set<AttemptId> listed = new HashSet<>();
        List<AttemptId> orphans = new ArrayList<>();
        for (EngineRun run : engineRuns) {
            AttemptId attempt = run.attemptId();
            listed.add(attempt);
            if (!mRunning.containsKey(attempt) && !segments.contains(attempt.value())) {
                orphans.add(attempt);
            }
        }
        List<AttemptId> lost = new ArrayList<>();
        mRunning.forEach(
                (attempt, run) -> {
                    if (listed.contains(attempt)) {
                        run.seenInList();
                    } else if (nowNanos - run.dispatchedNanos()
                                    >= mSettings.dispatchGrace().toNanos()
                            && run.missingInList() >= MISSING_LISTS_BEFORE_RELEASE) {
                        lost.add(attempt);
                    }
                });
        return new ReconcileResult(orphans, lost);
    }

    private void endPrefill(RunningItem run, long nowNanos) {
        run.endPrefill(nowNanos);
        mProgress.ended(run, nowNanos);
        mSlots.ended(run.item().lengthBand(), run.item().cost().promptTokens());
    }
}
