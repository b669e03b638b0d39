package org.tanagergap.decisions.baseline;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.lock.LockRank;
import org.tanagergap.api.lock.OrderedLock;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.scheduling.AdmissionDecision;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.decisions.scheduling.RankLoad;
import org.tanagergap.decisions.scheduling.ReconcileResult;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.decisions.scheduling.WorkItem;

/**
 * Unbounded first-come, first-served scheduler, for comparison only. It reserves memory but ignores
 * ranks and shares, refuses nothing that fits the engine, and the head of its queue blocks the
 * rest.
 */
public final class FirstComeScheduler implements UpstreamScheduler {

    private static final int MISSING_LISTS_BEFORE_RELEASE = 2;
    private static final Duration DISPATCH_GRACE = Duration.ofSeconds(2);

    /** Nominal rate; this scheduler does not measure it. */
    private static final double PREFILL_TOKENS_PER_SECOND = 20_000;

    private final OrderedLock mLock = new OrderedLock(LockRank.FAIR_QUEUE);
    private final RuntimeClock mClock;
    private final Map<AttemptId, WorkItem> mQueue = new LinkedHashMap<>();
    private final PriorityQueue<WorkItem> mByDeadline =
            new PriorityQueue<>(Comparator.comparingLong(item -> item.deadline().nanos()));
    private final Map<AttemptId, Run> mRunning = new HashMap<>();
    private final Map<String, SegmentReservation> mSegments = new TreeMap<>();
    private long mCapacity;
    private long mReserved;
    private long mPrefillTokens;

    public FirstComeScheduler(RuntimeClock clock, long memoryTokens) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mCapacity = memoryTokens;
    }

    @Override
    public AdmissionDecision submit(WorkItem item) {
        return mLock.call(() -> submitLocked(item));
    }

    @Override
    public List<WorkItem> takeDispatchable() {
        return mLock.call(this::dispatchLocked);
    }

    @Override
    public List<WorkItem> takeExpired() {
        return mLock.call(
                () -> {
                    List<WorkItem> expired = new ArrayList<>();
                    while (!mByDeadline.isEmpty()
                            && mByDeadline.peek().deadline().hasPassed(mClock)) {
                        WorkItem item = mByDeadline.poll();
                        if (mQueue.remove(item.attemptId(), item)) {
                            mPrefillTokens -= item.cost().promptTokens();
                            expired.add(item);
                        }
                    }
                    return expired;
                });
    }

    @Override
    public void prefillFinished(AttemptId attempt, long promptTokens) {
        mLock.run(
                () -> {
                    Run run = mRunning.get(attempt);
                    if (run != null) {
                        run.endPrefill();
                    }
                });
    }

    @Override
    public boolean release(AttemptId attempt, long outputTokens) {
        return mLock.call(() -> releaseLocked(attempt));
    }

    @Override
    public ReconcileResult reconcile(List<EngineRun> engineRuns) {
        return mLock.call(() -> reconcileLocked(engineRuns, mClock.nanoTime()));
    }

    @Override
    public boolean reserveSegment(String segmentId, long tokens, Duration expiresIn) {
        return mLock.call(
                () -> {
                    SegmentReservation existing = mSegments.get(segmentId);
                    long reserved = existing == null ? 0 : existing.tokens();
                    if (tokens - reserved > free()) {
                        return false;
                    }
                    long expiry = mClock.nanoTime() + expiresIn.toNanos();
                    mSegments.put(segmentId, new SegmentReservation(tokens, expiry));
                    mReserved += tokens - reserved;
                    return true;
                });
    }

    @Override
    public boolean releaseSegment(String segmentId) {
        return mLock.call(() -> releaseSegmentLocked(segmentId));
    }

    @Override
    public List<String> releaseExpiredSegments() {
        return mLock.call(
                () -> {
                    long now = mClock.nanoTime();
                    List<String> expired = new ArrayList<>();
                    mSegments.forEach(
                            (id, segment) -> {
                                if (segment.expiryNanos() <= now) {
                                    expired.add(id);
                                }
                            });
                    expired.forEach(this::releaseSegmentLocked);
                    return expired;
                });
    }

    @Override
    public void setCapacity(long memoryTokens) {
        mLock.run(() -> mCapacity = memoryTokens);
    }

    @Override
    public long freeTokens() {
        return mLock.call(this::free);
    }

    @Override
    public long reservedTokens() {
        return mLock.call(() -> mReserved);
    }

    @Override
    public PrefillBacklog prefillBacklog() {
        // First come, first served: every prompt waits behind all others.
        return mLock.call(() -> new PrefillBacklog(mPrefillTokens, 0, 0));
    }

    @Override
    public double prefillTokensPerSecond() {
        return PREFILL_TOKENS_PER_SECOND;
    }

    @Override
    public Map<String, RankLoad> queuedByRank() {
        return mLock.call(
                () -> {
                    Map<String, RankLoad> load = new TreeMap<>();
                    for (WorkItem item : mQueue.values()) {
                        load.merge(
                                item.policy().rank(),
                                new RankLoad(1, memoryTokens(item)),
                                (a, b) ->
                                        new RankLoad(
                                                a.queued() + b.queued(),
                                                a.queuedTokens() + b.queuedTokens()));
                    }
                    return load;
                });
    }

    @Override
    public int running() {
        return mLock.call(mRunning::size);
    }

    private AdmissionDecision submitLocked(WorkItem item) {
        Duration retryAfter = Duration.ofMillis(100);
        if (mQueue.containsKey(item.attemptId()) || mRunning.containsKey(item.attemptId())) {
            return new AdmissionDecision.Refused(
                    FailureCode.IN_PROGRESS,
                    "attempt " + item.attemptId() + " is already known",
                    retryAfter);
        }
        if (memoryTokens(item) > mCapacity) {
            return new AdmissionDecision.Refused(
                    FailureCode.BODY_TOO_LARGE,
                    "request needs %d tokens of memory but the upstream has %d"
                            .formatted(memoryTokens(item), mCapacity),
                    retryAfter);
        }
        mQueue.put(item.attemptId(), item);
        mByDeadline.add(item);
        mPrefillTokens += item.cost().promptTokens();
        return new AdmissionDecision.Queued(Duration.ZERO, List.of());
    }

    private List<WorkItem> dispatchLocked() {
        List<WorkItem> started = new ArrayList<>();
        while (!mQueue.isEmpty()) {
            WorkItem head = mQueue.values().iterator().next();
            if (memoryTokens(head) > free() || head.deadline().hasPassed(mClock)) {
                // An expired head stays until the agent removes it with takeExpired().
                break;
            }
            mQueue.remove(head.attemptId());
            mReserved += memoryTokens(head);
            mRunning.put(head.attemptId(), new Run(head, mClock.nanoTime()));
            started.add(head);
        }
        return started;
    }

    private boolean releaseLocked(AttemptId attempt) {
        WorkItem queued = mQueue.remove(attempt);
        if (queued != null) {
            mPrefillTokens -= queued.cost().promptTokens();
            return true;
        }
        Run run = mRunning.remove(attempt);
        if (run == null) {
            return false;
        }
        run.endPrefill();
        mReserved -= memoryTokens(run.mItem);
        return true;
    }

    private ReconcileResult reconcileLocked(List<EngineRun> engineRuns, long now) {
        Set<AttemptId> listed = new HashSet<>();
        engineRuns.forEach(run -> listed.add(run.attemptId()));
        List<AttemptId> lost = new ArrayList<>();
        mRunning.forEach(
                (attempt, run) -> {
                    boolean isNew = now - run.mStartNanos < DISPATCH_GRACE.toNanos();
                    run.mMissing = listed.contains(attempt) || isNew ? 0 : run.mMissing + 1;
                    if (run.mMissing >= MISSING_LISTS_BEFORE_RELEASE) {
                        lost.add(attempt);
                    }
                });
        List<AttemptId> orphans =
                listed.stream().filter(attempt -> !mRunning.containsKey(attempt)).toList();
        lost.forEach(this::releaseLocked);
        return new ReconcileResult(orphans, lost);
    }

    private boolean releaseSegmentLocked(String segmentId) {
        SegmentReservation segment = mSegments.remove(segmentId);
        if (segment == null) {
            return false;
        }
        mReserved -= segment.tokens();
        return true;
    }

    private long free() {
        return Math.max(0, mCapacity - mReserved);
    }

    private static long memoryTokens(WorkItem item) {
        return Math.max(1, item.cost().memoryTokens());
    }

    private record SegmentReservation(long tokens, long expiryNanos) {}

    private final class Run {

        private final WorkItem mItem;
        private final long mStartNanos;
        private boolean mPrefilling = true;
        private int mMissing;

        Run(WorkItem item, long startNanos) {
            mItem = item;
            mStartNanos = startNanos;
        }

        void endPrefill() {
            if (mPrefilling) {
                mPrefilling = false;
                mPrefillTokens -= mItem.cost().promptTokens();
            }
        }
    }
}
