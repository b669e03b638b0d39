package org.tanagergap.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Simulates an engine with continuous batching: each step prefills a chunk of prompt tokens by
 * priority and generates one token for each decoding run. Confined to one thread.
 */
public final class EngineModel {

    private static final Comparator<ActiveRun> BY_PRIORITY =
            Comparator.comparingInt(ActiveRun::priority).thenComparingLong(ActiveRun::sequence);
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final RuntimeClock mClock;
    private final EngineSettings mSettings;
    private final PrefixCache mCache;
    private final Map<String, ActiveRun> mRuns = new LinkedHashMap<>();
    private final TreeSet<ActiveRun> mWaiting = new TreeSet<>(BY_PRIORITY);
    private final TreeSet<ActiveRun> mPrefilling = new TreeSet<>(BY_PRIORITY);
    private final List<ActiveRun> mDecoding = new ArrayList<>();
    private final Map<String, EngineRequest> mSegments = new HashMap<>();
    private long mMemoryTokensUsed;
    private long mSequence;
    private boolean mStepScheduled;
    private long mLastFencingNumber;

    public EngineModel(
            RuntimeClock clock, EngineSettings settings, Consumer<StandInCacheEvent> cacheEvents) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mSettings = Objects.requireNonNull(settings, "settings must not be null");
        mCache = new PrefixCache(cacheEvents);
    }

    /** Starts a run, or queues it until enough memory is free. */
    public SubmitOutcome submit(EngineRequest request, RunObserver observer) {
        if (request.memoryTokens() > mSettings.memoryTokens()) {
            return SubmitOutcome.TOO_LARGE;
        }
        if (mRuns.containsKey(request.requestId())) {
            return SubmitOutcome.DUPLICATE;
        }
        if (mWaiting.size() >= mSettings.maxQueued()) {
            return SubmitOutcome.QUEUE_FULL;
        }
        ActiveRun run = new ActiveRun(request, observer, mSequence++);
        mRuns.put(request.requestId(), run);
        mWaiting.add(run);
        scheduleStep();
        return SubmitOutcome.ACCEPTED;
    }

    /**
     * Cancels a run, or releases the segment that its prefill has created.
     *
     * @return true if there was such a run or segment
     */
    public boolean cancel(String requestId) {
        ActiveRun run = mRuns.get(requestId);
        if (run == null) {
            return findHandle(requestId).map(this::releaseSegment).orElse(false);
        }
        remove(run);
        run.observer().onCancelled();
        return true;
    }

    /** Runs and retained segments with their memory. */
    public List<RunState> runs() {
        List<RunState> states = new ArrayList<>();
        for (ActiveRun run : mRuns.values()) {
            long memory = run.isAdmitted() ? run.request().memoryTokens() : 0;
            states.add(new RunState(run.request().requestId(), memory, run.stateName()));
        }
        for (EngineRequest segment : mSegments.values()) {
            states.add(new RunState(segment.requestId(), segment.memoryTokens(), "held"));
        }
        return states;
    }

    /** Prompt tokens of a run that are not yet prefilled; 0 for an unknown run. */
    public long prefillLeft(String requestId) {
        ActiveRun run = mRuns.get(requestId);
        return run == null ? 0 : run.prefillLeft();
    }

    /** Current load. */
    public StandInEngineLoad load() {
        long prefill = 0;
        for (ActiveRun run : mRuns.values()) {
            prefill += run.prefillLeft();
        }
        return new StandInEngineLoad(
                mMemoryTokensUsed,
                mSettings.memoryTokens(),
                mWaiting.size(),
                prefill,
                mClock.now());
    }

    /** Segment whose KV cache is retained; null when the handle is unknown. */
    public EngineRequest segment(String handle) {
        return mSegments.get(handle);
    }

    /**
     * Releases the KV cache of a segment.
     *
     * @return true if the segment was retained
     */
    public boolean releaseSegment(String handle) {
        EngineRequest segment = mSegments.remove(handle);
        if (segment == null) {
            return false;
        }
        mMemoryTokensUsed -= segment.memoryTokens();
        scheduleStep();
        return true;
    }

    /** Accepts a fencing number unless it is lower than the highest accepted one. */
    public boolean acceptFencingNumber(long fencingNumber) {
        if (fencingNumber < mLastFencingNumber) {
            return false;
        }
        mLastFencingNumber = fencingNumber;
        return true;
    }

    private Optional<String> findHandle(String requestId) {
        return mSegments.values().stream()
                .filter(segment -> segment.requestId().equals(requestId))
                .findFirst()
                .flatMap(EngineRequest::handle);
    }

    private void scheduleStep() {
        if (mStepScheduled) {
            return;
        }
        admitWaiting();
        if (mPrefilling.isEmpty() && mDecoding.isEmpty()) {
            return;
        }
        List<PrefillShare> shares = planPrefill();
        List<ActiveRun> decoding = List.copyOf(mDecoding);
        mStepScheduled = true;
        mClock.schedule(stepTime(shares, decoding.size()), () -> finishStep(shares, decoding));
    }

    private void admitWaiting() {
        while (!mWaiting.isEmpty()) {
            ActiveRun first = mWaiting.first();
            if (mMemoryTokensUsed + first.request().memoryTokens() > mSettings.memoryTokens()) {
                return;
            }
            mWaiting.remove(first);
            mMemoryTokensUsed += first.request().memoryTokens();
            EngineRequest request = first.request();
            long importCost =
                    (long)
                            (request.importedTokens()
                                    * mSettings.prefillTokensPerSecond()
                                    / mSettings.importTokensPerSecond());
            first.admit(mCache.lookup(request.cacheSalt(), request.blockHashes()), importCost);
            mCache.shrinkTo(mSettings.memoryTokens() - mMemoryTokensUsed);
            mPrefilling.add(first);
        }
    }

    private List<PrefillShare> planPrefill() {
        List<PrefillShare> shares = new ArrayList<>();
        long budget = mSettings.prefillChunkTokens();
        for (ActiveRun run : mPrefilling) {
            if (budget == 0) {
                break;
            }
            long tokens = Math.min(budget, run.prefillLeft());
            shares.add(new PrefillShare(run, tokens));
            budget -= tokens;
        }
        return shares;
    }

    private Duration stepTime(List<PrefillShare> shares, int decoding) {
        long tokens = 0;
        for (PrefillShare share : shares) {
            tokens += share.tokens();
        }
        long prefillNanos = (long) (tokens * NANOS_PER_SECOND / mSettings.prefillTokensPerSecond());
        return mSettings
                .stepOverhead()
                .plusNanos(prefillNanos)
                .plus(mSettings.decodeTimePerRun().multipliedBy(decoding));
    }

    // Observers may submit and cancel runs during this call. The next step is planned only when
    // this one is complete, because it would otherwise prefill again the tokens that this step has
    // prefilled but not yet recorded.
    private void finishStep(List<PrefillShare> shares, List<ActiveRun> decoding) {
        for (ActiveRun run : decoding) {
            if (isActive(run)) {
                emitToken(run);
            }
        }
        for (PrefillShare share : shares) {
            if (isActive(share.run())) {
                share.run().prefill(share.tokens());
                if (!share.run().isPrefilling()) {
                    finishPrefill(share.run());
                }
            }
        }
        mStepScheduled = false;
        scheduleStep();
    }

    // The step that completes the prefill also generates the first token.
    private void finishPrefill(ActiveRun run) {
        mPrefilling.remove(run);
        EngineRequest request = run.request();
        mCache.store(request.cacheSalt(), request.blockHashes());
        mCache.shrinkTo(mSettings.memoryTokens() - mMemoryTokensUsed);
        if (request.handle().isPresent()) {
            mRuns.remove(request.requestId());
            mSegments.put(request.handle().get(), request);
            run.observer().onFinished("held", run.usage());
            return;
        }
        mDecoding.add(run);
        emitToken(run);
    }

    private void emitToken(ActiveRun run) {
        if (!run.isComplete()) {
            run.decode();
        }
        if (isActive(run) && run.isComplete()) {
            RunUsage usage = run.usage();
            remove(run);
            run.observer().onFinished("length", usage);
        }
    }

    private boolean isActive(ActiveRun run) {
        return mRuns.get(run.request().requestId()) == run;
    }

    private void remove(ActiveRun run) {
        mRuns.remove(run.request().requestId());
        mWaiting.remove(run);
        mPrefilling.remove(run);
        mDecoding.remove(run);
        if (run.isAdmitted()) {
            mMemoryTokensUsed -= run.request().memoryTokens();
        }
        scheduleStep();
    }

    private record PrefillShare(ActiveRun run, long tokens) {}
}
