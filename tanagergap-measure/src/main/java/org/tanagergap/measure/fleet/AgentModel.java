package org.tanagergap.measure.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.scheduling.AdmissionDecision;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.decisions.scheduling.WorkItem;
import org.tanagergap.standins.engine.EngineModel;
import org.tanagergap.standins.engine.EngineRequest;
import org.tanagergap.standins.engine.RunObserver;
import org.tanagergap.standins.engine.RunState;
import org.tanagergap.standins.engine.RunUsage;
import org.tanagergap.standins.engine.SubmitOutcome;

/** Model of an agent without a network: runs the measured scheduler on an engine model. */
final class AgentModel {

    private static final Duration PUMP_INTERVAL = Duration.ofMillis(100);
    private static final Duration RECONCILE_INTERVAL = Duration.ofSeconds(5);

    private final RuntimeClock mClock;
    private final String mName;
    private final UpstreamScheduler mScheduler;
    private final EngineModel mEngine;
    private final PriorityRule mPriority;
    private final long mMemoryTokens;
    private final Map<AttemptId, Attempt> mAttempts = new HashMap<>();

    AgentModel(
            RuntimeClock clock,
            String name,
            UpstreamScheduler scheduler,
            FleetSettings settings,
            PriorityRule priority) {
        mClock = clock;
        mName = name;
        mScheduler = scheduler;
        mPriority = priority;
        mMemoryTokens = settings.engine().memoryTokens();
        mEngine = new EngineModel(clock, settings.engine(), event -> {});
        scheduler.setCapacity(mMemoryTokens);
        clock.schedule(PUMP_INTERVAL, this::pumpPeriodically);
        clock.schedule(RECONCILE_INTERVAL, this::reconcilePeriodically);
    }

    String name() {
        return mName;
    }

    void submit(WorkItem item, AttemptObserver observer) {
        mAttempts.put(item.attemptId(), new Attempt(item, observer));
        AdmissionDecision decision = mScheduler.submit(item);
        if (decision instanceof AdmissionDecision.Refused refused) {
            refuse(item.attemptId(), refused.code().wireName());
        } else if (decision instanceof AdmissionDecision.Queued queued) {
            for (WorkItem displaced : queued.displaced()) {
                refuse(displaced.attemptId(), "displaced");
            }
        }
        pump();
    }

    LoadHint hint() {
        return new LoadHint(
                mMemoryTokens,
                mScheduler.freeTokens(),
                mScheduler.prefillBacklog(),
                mScheduler.prefillTokensPerSecond(),
                mScheduler.queuedByRank(),
                false,
                true,
                Duration.ZERO,
                Set.of(),
                1);
    }

    UpstreamScheduler scheduler() {
        return mScheduler;
    }

    EngineModel engine() {
        return mEngine;
    }

    /** Reports the processed tokens of each dispatched attempt to its observer. */
    void reportProgress() {
        mAttempts.forEach(
                (id, attempt) -> {
                    if (attempt.mDispatched) {
                        long prefillTokensLeft = mEngine.prefillLeft(id.value());
                        long promptTokens = attempt.mItem.cost().promptTokens();
                        attempt.mObserver.onProgress(
                                promptTokens - prefillTokensLeft + attempt.mGeneratedTokens);
                    }
                });
    }

    private void refuse(AttemptId id, String reason) {
        Attempt attempt = mAttempts.remove(id);
        if (attempt != null) {
            attempt.mObserver.onRefused(reason);
        }
    }

    private void pump() {
        for (WorkItem item : mScheduler.takeExpired()) {
            refuse(item.attemptId(), "deadline_exceeded");
        }
        for (WorkItem item : mScheduler.takeDispatchable()) {
            dispatch(item);
        }
    }

    private void dispatch(WorkItem item) {
        Attempt attempt = mAttempts.get(item.attemptId());
        attempt.mObserver.onAdmitted();
        attempt.mDispatched = true;
        attempt.mDeadlineTimer =
                mClock.schedule(item.deadline().remaining(mClock), () -> cancelAtDeadline(item));
        EngineRequest request =
                new EngineRequest(
                        item.attemptId().value(),
                        item.cost().promptTokens(),
                        1,
                        item.cost().maxOutputTokens(),
                        mPriority.priorityOf(item),
                        item.policy().workspace(),
                        List.of(),
                        0,
                        0,
                        Optional.empty());
        SubmitOutcome outcome = mEngine.submit(request, new EngineEvents(item));
        if (outcome != SubmitOutcome.ACCEPTED) {
            mScheduler.release(item.attemptId(), 0);
            attempt.mDeadlineTimer.cancel();
            refuse(item.attemptId(), "engine_" + outcome);
        }
    }

    private void cancelAtDeadline(WorkItem item) {
        Attempt attempt = mAttempts.remove(item.attemptId());
        if (attempt != null) {
            mEngine.cancel(item.attemptId().value());
            mScheduler.release(item.attemptId(), attempt.mGeneratedTokens);
            attempt.mObserver.onDeadlineExceeded();
            pump();
        }
    }

    private void pumpPeriodically() {
        pump();
        mClock.schedule(PUMP_INTERVAL, this::pumpPeriodically);
    }

    private void reconcilePeriodically() {
        List<EngineRun> runs = new ArrayList<>();
        for (RunState run : mEngine.runs()) {
            runs.add(new EngineRun(new AttemptId(run.requestId()), run.memoryTokens()));
        }
        for (AttemptId orphan : mScheduler.reconcile(runs).orphans()) {
            mEngine.cancel(orphan.value());
        }
        mClock.schedule(RECONCILE_INTERVAL, this::reconcilePeriodically);
    }

    private static final class Attempt {

        private final WorkItem mItem;
        private final AttemptObserver mObserver;
        private Timer mDeadlineTimer = () -> {};
        private boolean mDispatched;
        private long mGeneratedTokens;

        Attempt(WorkItem item, AttemptObserver observer) {
            mItem = item;
            mObserver = observer;
        }
    }

    private final class EngineEvents implements RunObserver {

        private final WorkItem mItem;

        EngineEvents(WorkItem item) {
            mItem = item;
        }

        @Override
        public void onToken(long index, String text) {
            Attempt attempt = mAttempts.get(mItem.attemptId());
            if (attempt == null) {
                return;
            }
            if (attempt.mGeneratedTokens++ == 0) {
                mScheduler.prefillFinished(
                        attempt.mItem.attemptId(), attempt.mItem.cost().promptTokens());
                pump();
            }
            attempt.mObserver.onToken(index);
        }

        @Override
        public void onFinished(String finishReason, RunUsage usage) {
            Attempt attempt = mAttempts.remove(mItem.attemptId());
            if (attempt != null) {
                attempt.mDeadlineTimer.cancel();
                mScheduler.release(mItem.attemptId(), usage.completionTokens());
                attempt.mObserver.onFinished();
                pump();
            }
        }

        @Override
        public void onCancelled() {}
    }
}
