package org.tanagergap.decisions.scheduling;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.testing.PausedClock;

/**
 * Scheduler with a simple model of its queue and memory, which is updated from its calls and
 * results.
 */
final class SchedulerModel {

    static final long CAPACITY = 400_000;

    private static final Comparator<AttemptId> BY_VALUE = Comparator.comparing(AttemptId::value);

    private final PausedClock mClock = new PausedClock();
    private final FairUpstreamScheduler mScheduler =
            new FairUpstreamScheduler(
                    mClock,
                    SchedulerSettings.defaults().withMemoryTokens(CAPACITY).withQueueLimits(8, 4));
    private final Map<AttemptId, WorkItem> mQueued = new TreeMap<>(BY_VALUE);
    private final Map<AttemptId, WorkItem> mRunning = new TreeMap<>(BY_VALUE);
    private final Map<AttemptId, Long> mReserved = new HashMap<>();
    private final Map<String, Long> mSegments = new HashMap<>();
    private final Set<AttemptId> mPrefilled = new HashSet<>();
    private final Set<AttemptId> mEnded = new HashSet<>();
    private int mNext;

    void submit(WorkItems items, long prompt, long output, long leftMillis) {
        String id = "a" + mNext++;
        WorkItem item = items.item(mClock, id, prompt, output, Duration.ofMillis(leftMillis));
        AdmissionDecision decision = mScheduler.submit(item);
        if (decision instanceof AdmissionDecision.Queued queued) {
            mQueued.put(item.attemptId(), item);
            for (WorkItem displaced : queued.displaced()) {
                assertThat(mQueued.remove(displaced.attemptId())).isEqualTo(displaced);
                mEnded.add(displaced.attemptId());
            }
        } else {
            mEnded.add(item.attemptId());
        }
    }

    void dispatch() {
        for (WorkItem item : mScheduler.takeDispatchable()) {
            assertThat(item.deadline().hasPassed(mClock)).isFalse();
            // Displaced, expired, refused and released items are not in the model's queue.
            assertThat(mQueued.remove(item.attemptId())).isEqualTo(item);
            mRunning.put(item.attemptId(), item);
            mReserved.put(item.attemptId(), Math.max(1, item.cost().memoryTokens()));
        }
    }

    void expire() {
        for (WorkItem item : mScheduler.takeExpired()) {
            assertThat(mQueued.remove(item.attemptId())).isEqualTo(item);
            mEnded.add(item.attemptId());
        }
        // Before this call, the model also has items that the scheduler dropped but did not report
        // yet.
        assertThat(queuedAtScheduler()).isEqualTo(mQueued.size());
    }

    void advance(long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    void finishPrefill(int choice, double error) {
        if (mRunning.isEmpty()) {
            return;
        }
        AttemptId attempt = pick(mRunning, choice);
        WorkItem item = mRunning.get(attempt);
        long counted = (long) (item.cost().promptTokens() * error);
        long free = CAPACITY - total();
        mScheduler.prefillFinished(attempt, counted);
        if (mPrefilled.add(attempt)) {
            long wanted = Math.max(1, counted + item.cost().maxOutputTokens());
            long old = mReserved.get(attempt);
            mReserved.put(attempt, old + Math.min(wanted - old, free));
        }
    }

    /** Covers finished, cancelled and broken calls, also of queued work. */
    void release(int choice, boolean ofQueued) {
        Map<AttemptId, WorkItem> from = ofQueued ? mQueued : mRunning;
        if (from.isEmpty()) {
            return;
        }
        AttemptId attempt = pick(from, choice);
        assertThat(mScheduler.release(attempt, 10)).isTrue();
        end(attempt);
        assertThat(mScheduler.release(attempt, 10)).isFalse();
    }

    void lateReply(int choice) {
        if (!mEnded.isEmpty()) {
            List<AttemptId> ended = new ArrayList<>(mEnded);
            AttemptId attempt = ended.get(choice % ended.size());
            mScheduler.prefillFinished(attempt, 1_000);
            assertThat(mScheduler.release(attempt, 10)).isFalse();
        }
    }

    /** The engine either lost all runs, or lists the running ones and one without a reservation. */
    void reconcile(boolean engineCrashed) {
        List<EngineRun> runs = new ArrayList<>();
        runs.add(new EngineRun(new AttemptId("orphan"), 5));
        if (!engineCrashed) {
            mRunning.keySet().forEach(id -> runs.add(new EngineRun(id, mReserved.get(id))));
        }
        ReconcileResult result = mScheduler.reconcile(runs);
        assertThat(result.orphans()).containsExactly(new AttemptId("orphan"));
        if (!engineCrashed) {
            assertThat(result.released()).isEmpty();
        }
        result.released().forEach(this::end);
    }

    void reserveSegment(String id, long tokens) {
        boolean reserved = mScheduler.reserveSegment(id, tokens, Duration.ofSeconds(10));
        if (reserved) {
            mSegments.put(id, tokens);
        }
    }

    void releaseSegment(String id) {
        assertThat(mScheduler.releaseSegment(id)).isEqualTo(mSegments.remove(id) != null);
    }

    void expireSegments() {
        for (String id : mScheduler.releaseExpiredSegments()) {
            assertThat(mSegments.remove(id)).isNotNull();
        }
    }

    void check() {
        assertThat(mScheduler.reservedTokens()).isEqualTo(total());
        assertThat(mScheduler.reservedTokens()).isAtMost(CAPACITY);
        assertThat(mScheduler.freeTokens()).isEqualTo(CAPACITY - total());
        assertThat(mScheduler.running()).isEqualTo(mRunning.size());
        assertThat(queuedAtScheduler()).isAtMost(8);
    }

    /** Checks that no memory is reserved after everything has ended. */
    void checkNothingLeaks() {
        List.copyOf(mRunning.keySet()).forEach(id -> mScheduler.release(id, 0));
        List.copyOf(mSegments.keySet()).forEach(mScheduler::releaseSegment);
        assertThat(mScheduler.reservedTokens()).isEqualTo(0);
    }

    private int queuedAtScheduler() {
        return mScheduler.queuedByRank().values().stream().mapToInt(RankLoad::queued).sum();
    }

    private void end(AttemptId attempt) {
        mQueued.remove(attempt);
        mRunning.remove(attempt);
        mReserved.remove(attempt);
        mEnded.add(attempt);
    }

    private long total() {
        long runs = mReserved.values().stream().mapToLong(Long::longValue).sum();
        return runs + mSegments.values().stream().mapToLong(Long::longValue).sum();
    }

    private static AttemptId pick(Map<AttemptId, WorkItem> from, int choice) {
        return new ArrayList<>(from.keySet()).get(choice % from.size());
    }
}
