package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.lock.LockRank;
import org.tanagergap.api.lock.OrderedLock;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;

/** Scheduler with memory reservations, rank floors and workspace shares, guarded by one lock. */
public final class FairUpstreamScheduler implements UpstreamScheduler {

    private final OrderedLock mLock = new OrderedLock(LockRank.FAIR_QUEUE);
    private final RuntimeClock mClock;
    private final SchedulerSettings mSettings;
    private final MemoryLedger mLedger;
    private final FairQueue mQueue;
    private final PendingReservationPolicy mPending;
    private final SegmentReservationTable mSegments;
    private final WorkspacePolicyTable mPolicies;
    private final RunningTable mRunning;
    private final AdmissionControl mAdmission;
    private final Map<AttemptId, WorkItem> mExpired = new LinkedHashMap<>();
    private long mSequence;

    public FairUpstreamScheduler(RuntimeClock clock, SchedulerSettings settings) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mSettings = Objects.requireNonNull(settings, "settings must not be null");
        mLedger = new MemoryLedger(settings.memoryTokens(), settings.longMemoryShare());
        mQueue = new FairQueue(settings.floorWindow());
        mPending = new PendingReservationPolicy(mLedger, settings.pendingReservationAfter());
        mSegments = new SegmentReservationTable(mLedger, mPending);
        mPolicies = new WorkspacePolicyTable(settings.policyRetention());
        mRunning = new RunningTable(settings, mQueue.ranks());
        mAdmission = new AdmissionControl(mQueue.ranks(), mRunning, mLedger);
    }

    @Override
    public AdmissionDecision submit(WorkItem item) {
        Objects.requireNonNull(item, "item must not be null");
        return mLock.call(() -> submitLocked(item, mClock.nanoTime()));
    }

    @Override
    public List<WorkItem> takeDispatchable() {
        return mLock.call(() -> dispatchLocked(mClock.nanoTime()));
    }

    @Override
    public List<WorkItem> takeExpired() {
        return mLock.call(
                () -> {
                    sweepExpired(mClock.nanoTime());
                    List<WorkItem> expired = List.copyOf(mExpired.values());
                    mExpired.clear();
                    return expired;
                });
    }

    @Override
    public void prefillFinished(AttemptId attempt, long promptTokens) {
        if (promptTokens < 0) {
            throw new IllegalArgumentException(
                    "promptTokens must not be negative: " + promptTokens);
        }
        mLock.run(() -> prefillFinishedLocked(attempt, promptTokens, mClock.nanoTime()));
    }

    @Override
    public void outputPaused(AttemptId attempt, Duration pause) {
        mLock.run(() -> mRunning.outputPaused(attempt, pause.toNanos()));
    }

    @Override
    public boolean release(AttemptId attempt, long outputTokens) {
        return mLock.call(() -> releaseLocked(attempt, outputTokens, mClock.nanoTime()));
    }

    @Override
    public ReconcileResult reconcile(List<EngineRun> engineRuns) {
        return mLock.call(() -> reconcileLocked(engineRuns, mClock.nanoTime()));
    }

    @Override
    public boolean reserveSegment(String segmentId, long tokens, Duration expiresIn) {
        Objects.requireNonNull(segmentId, "segmentId must not be null");
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens must not be negative: " + tokens);
        }
        return mLock.call(() -> mSegments.reserve(segmentId, tokens, expiresIn, mClock.nanoTime()));
    }

    @Override
    public boolean releaseSegment(String segmentId) {
        return mLock.call(() -> mSegments.release(segmentId));
    }

    @Override
    public List<String> releaseExpiredSegments() {
        return mLock.call(() -> mSegments.expire(mClock.nanoTime()));
    }

    @Override
    public void setCapacity(long memoryTokens) {
        if (memoryTokens < 0) {
            throw new IllegalArgumentException(
                    "memoryTokens must not be negative: " + memoryTokens);
        }
        mLock.run(
                () -> {
                    if (memoryTokens < mLedger.capacity()) {
                        mQueue.largerThan(memoryTokens).forEach(this::expire);
                    }
                    mLedger.setCapacity(memoryTokens);
                });
    }

    @Override
    public long freeTokens() {
        return mLock.call(mLedger::free);
    }

    @Override
    public long reservedTokens() {
        return mLock.call(mLedger::reserved);
    }

    @Override
    public PrefillBacklog prefillBacklog() {
        return mLock.call(() -> mQueue.addPromptTokens(mRunning.slots().backlog()));
    }

    @Override
    public double prefillTokensPerSecond() {
        return mLock.call(mRunning.rate()::tokensPerSecond);
    }

    @Override
    public Map<String, RankLoad> queuedByRank() {
        return mLock.call(mQueue::load);
    }

    @Override
    public int running() {
        return mLock.call(mRunning::size);
    }

    private AdmissionDecision submitLocked(WorkItem item, long now) {
        sweepExpired(now);
        if (mQueue.contains(item.attemptId()) || mRunning.contains(item.attemptId())) {
            return Refusals.refused(
                    FailureCode.IN_PROGRESS, "attempt " + item.attemptId() + " is already known");
        }
        Duration timeToDeadline = Duration.ofNanos(item.deadline().nanos() - now);
        if (timeToDeadline.isNegative() || timeToDeadline.isZero()) {
            return Refusals.refused(FailureCode.DEADLINE_EXCEEDED, "deadline has passed");
        }
        long needed = QueuedItem.memoryTokens(item);
        if (needed > mLedger.capacity()) {
            return Refusals.refused(
                    FailureCode.BODY_TOO_LARGE,
                    "request needs %d tokens of memory but the upstream has %d"
                            .formatted(needed, mLedger.capacity()));
        }
        int weight = mPolicies.weight(item.policy(), now);
        RankQueue rank = mQueue.updateRank(item.policy());
        Duration wait = mAdmission.predictedWait(rank, weight, item, now);
        String workspace = item.policy().workspace();
        if (mQueue.queuedOf(workspace) >= mSettings.maxQueuedPerWorkspace()) {
            return Refusals.refused(
                    FailureCode.OVERLOADED,
                    "queue of workspace \"%s\" is full".formatted(workspace),
                    wait);
        }
        Duration run = mAdmission.runTime(item, now);
        Duration excess = wait.plus(run).minus(timeToDeadline);
        if (excess.compareTo(Duration.ZERO) > 0) {
            return Refusals.refused(
                    FailureCode.OVERLOADED,
                    "predicted time of %d ms exceeds the deadline"
                            .formatted(wait.plus(run).toMillis()),
                    excess);
        }
        QueuedItem queued =
                new QueuedItem(
                        item,
                        mSequence++,
                        now,
                        item.deadline().nanos() - run.toNanos(),
                        mSettings.ageingPerSecond());
        mQueue.add(queued, weight);
        return displaceIfFull(queued, wait);
    }

    private AdmissionDecision displaceIfFull(QueuedItem arrival, Duration wait) {
        if (mQueue.size() <= mSettings.maxQueued()) {
            return new AdmissionDecision.Queued(wait, List.of());
        }
        QueuedItem victim = mQueue.victim(mSettings.maxQueued());
        drop(victim);
        return victim == arrival
                ? Refusals.refused(FailureCode.OVERLOADED, "queue is full", wait)
                : new AdmissionDecision.Queued(wait, List.of(victim.item()));
    }

    private List<WorkItem> dispatchLocked(long now) {
        sweepExpired(now);
        mRunning.progress().advance(now);
        List<WorkItem> started = new ArrayList<>();
        dispatchPending(now).ifPresent(started::add);
        DispatchGate gate = (queued, mayAccumulate) -> canStart(queued, mayAccumulate, now);
        Optional<QueuedItem> next = mQueue.next(now, gate);
        while (next.isPresent()) {
            QueuedItem queued = next.get();
            if (mAdmission.canFinish(queued.item(), now)) {
                started.add(start(queued, now));
            } else {
                expire(queued);
            }
            next = mQueue.next(now, gate);
        }
        return started;
    }

    /**
     * Starts the owner of the pending reservation once it fits, even before more urgent new work.
     */
    private Optional<WorkItem> dispatchPending(long now) {
        return mLedger.pendingOwner()
                .filter(AttemptId.class::isInstance)
                .flatMap(owner -> mQueue.find((AttemptId) owner))
                .filter(queued -> canStart(queued, true, now))
                .map(queued -> start(queued, now));
    }

    private boolean canStart(QueuedItem queued, boolean mayAccumulate, long now) {
        if (!mRunning.canStart(queued, mQueue.ranks().rank(queued.rank()))) {
            return false;
        }
        AttemptId attempt = queued.item().attemptId();
        if (mLedger.fits(attempt, queued.memoryTokens(), queued.isLong())
                && mLedger.leavesHeadroom(queued.memoryTokens())) {
            return true;
        }
        if (mayAccumulate) {
            mPending.blocked(
                    attempt, queued.memoryTokens(), queued.isLong(), queued.blockedNanos(now));
        }
        return false;
    }

    private WorkItem start(QueuedItem queued, long now) {
        WorkItem item = queued.item();
        if (!mLedger.reserve(item.attemptId(), queued.memoryTokens(), queued.isLong())) {
            throw new IllegalStateException("memory for " + item.attemptId() + " is not free");
        }
        mQueue.dispatch(queued, now);
        mRunning.start(queued, mQueue.ranks().rank(queued.rank()), now);
        return item;
    }

    private void prefillFinishedLocked(AttemptId attempt, long promptTokens, long now) {
        mRunning.firstToken(attempt, promptTokens, now)
                .ifPresent(
                        run -> {
                            long output = run.item().cost().maxOutputTokens();
                            mLedger.resize(attempt, Math.max(1, promptTokens + output));
                        });
    }

    private boolean releaseLocked(AttemptId attempt, long outputTokens, long now) {
        Optional<QueuedItem> queued = mQueue.find(attempt);
        queued.ifPresent(this::drop);
        // An expired item that is released first was cancelled and is not reported as expired.
        if (queued.isPresent() || mExpired.remove(attempt) != null) {
            return true;
        }
        Optional<RunningItem> running = mRunning.remove(attempt, outputTokens, now);
        running.ifPresent(run -> end(run, outputTokens, now));
        return running.isPresent();
    }

    private void end(RunningItem run, long outputTokens, long now) {
        mLedger.release(run.item().attemptId())
                .ifPresent(
                        tokens ->
                                mRunning.residency().released(tokens, now - run.dispatchedNanos()));
        long used = Math.max(1, run.item().cost().promptTokens() + Math.max(0, outputTokens));
        if (used < run.chargedTokens()) {
            mQueue.refund(run.item().policy(), run.chargedTokens() - used, now);
        }
    }

    private ReconcileResult reconcileLocked(List<EngineRun> engineRuns, long now) {
        ReconcileResult result = mRunning.compare(engineRuns, mSegments, now);
        result.released().forEach(attempt -> releaseLocked(attempt, 0, now));
        return result;
    }

    private void sweepExpired(long now) {
        Optional<QueuedItem> expired = mQueue.firstExpired(now);
        while (expired.isPresent()) {
            expire(expired.get());
            expired = mQueue.firstExpired(now);
        }
    }

    private void expire(QueuedItem queued) {
        drop(queued);
        mExpired.put(queued.item().attemptId(), queued.item());
    }

    private void drop(QueuedItem queued) {
        AttemptId attempt = queued.item().attemptId();
        mQueue.remove(attempt);
        mLedger.cancelPending(attempt);
    }
}
