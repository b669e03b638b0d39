package org.tanagergap.agent.load;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Function;
import org.tanagergap.agent.engine.EngineLoad;
import org.tanagergap.agent.engine.ModelEngine;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.runtime.time.PeriodicTask;

/**
 * Monitors the engine: polls its load, reconciles its runs and subscribes to its cache events. The
 * upstream becomes ready when its orphaned runs, those without an attempt on this agent, are
 * cancelled, and not ready when two consecutive load polls fail.
 */
public final class EngineMonitor implements Service {

    /** Time between two comparisons of the attempts with the engine's runs. */
    public static final Duration RECONCILE_INTERVAL = Duration.ofSeconds(5);

    private static final Duration CACHE_RESUBSCRIBE_DELAY = Duration.ofSeconds(1);
    private static final int FAILED_POLLS_UNTIL_UNREADY = 2;
    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ModelEngine mEngine;
    private final RuntimeClock mClock;
    private final Executor mLoop;
    private final MetricRegistry mMetrics;
    private final AgentReadiness mReadiness;
    private final LatestLoadReport mLoadReport;
    private final PrefixTable mPrefixes;
    private final Function<List<EngineRun>, List<AttemptId>> mReconciler;
    private final Consumer<EngineLoad> mLoadListener;
    private final PeriodicTask mLoadTask;
    private final PeriodicTask mReconcileTask;
    private volatile Cancellable mCacheEvents = () -> {};
    private volatile boolean mStopped;
    private boolean mReconciling;
    private boolean mLoadPollInProgress;
    private int mFailedLoadPolls;

    /**
     * Creates a monitor.
     *
     * @param reconciler compares runs with the attempts and returns the orphaned runs; called on
     *     the loop
     * @param loadListener receives every load report; called on the loop
     */
    public EngineMonitor(
            ModelEngine engine,
            RuntimeClock clock,
            Executor loop,
            MetricRegistry metrics,
            AgentReadiness readiness,
            LatestLoadReport loadReport,
            PrefixTable prefixes,
            Duration loadInterval,
            Function<List<EngineRun>, List<AttemptId>> reconciler,
            Consumer<EngineLoad> loadListener) {
        mEngine = engine;
        mClock = clock;
        mLoop = loop;
        mMetrics = metrics;
        mReadiness = readiness;
        mLoadReport = loadReport;
        mPrefixes = prefixes;
        mReconciler = reconciler;
        mLoadListener = loadListener;
        mLoadTask = new PeriodicTask(clock, loadInterval, () -> loop.execute(this::pollLoad));
        mReconcileTask =
                new PeriodicTask(clock, RECONCILE_INTERVAL, () -> loop.execute(this::reconcile));
    }

    /** Starts without waiting for the engine, which may become available later. */
    @Override
    public CompletableFuture<Void> start() {
        mLoop.execute(this::pollLoad);
        mLoop.execute(this::subscribeToCacheEvents);
        mReconcileTask.start();
        return mLoadTask.start();
    }

    @Override
    public CompletableFuture<Void> stop() {
        mStopped = true;
        mCacheEvents.cancel();
        mReconcileTask.stop();
        return mLoadTask.stop();
    }

    private void pollLoad() {
        if (mLoadPollInProgress) {
            return;
        }
        mLoadPollInProgress = true;
        mEngine.load()
                .subscribe()
                .with(
                        load -> mLoop.execute(() -> loadReceived(load)),
                        failure -> mLoop.execute(() -> loadFailed(failure)));
    }

    private void loadReceived(EngineLoad load) {
        mLoadPollInProgress = false;
        mFailedLoadPolls = 0;
        mLoadReport.record(load);
        mLoadListener.accept(load);
        if (!mReadiness.upstreamReady()) {
            reconcile();
        }
    }

    private void loadFailed(Throwable failure) {
        mLoadPollInProgress = false;
        mFailedLoadPolls++;
        if (mFailedLoadPolls >= FAILED_POLLS_UNTIL_UNREADY && mReadiness.upstreamReady()) {
            sLogger.atWarning().log(
                    "upstream is not ready: %d consecutive polls of the engine's load failed: %s",
                    mFailedLoadPolls, failure.getMessage());
            mReadiness.setUpstreamReady(false);
            mPrefixes.clear();
        }
    }

    private void reconcile() {
        if (mReconciling) {
            return;
        }
        mReconciling = true;
        mEngine.runs()
                .subscribe()
                .with(
                        runs -> mLoop.execute(() -> runsReceived(runs)),
                        failure ->
                                mLoop.execute(
                                        () -> {
                                            mReconciling = false;
                                            sLogger.atWarning().log(
                                                    "failed to list the runs of the engine: %s",
                                                    failure.getMessage());
                                        }));
    }

    private void runsReceived(List<EngineRun> runs) {
        List<AttemptId> orphans = mReconciler.apply(runs);
        if (orphans.isEmpty()) {
            reconciliationFinished();
            return;
        }
        mMetrics.counter("agent_orphan_runs_total").inc(orphans.size());
        sLogger.atWarning().log(
                "cancelling engine runs that have no attempt on this agent: %s", orphans);
        // If a cancellation fails, the next reconciliation finds the orphan again.
        List<Uni<Void>> cancellations =
                orphans.stream().map(o -> mEngine.cancel(o).onFailure().recoverWithNull()).toList();
        Uni.join()
                .all(cancellations)
                .andCollectFailures()
                .subscribe()
                .with(
                        ignored -> mLoop.execute(this::reconciliationFinished),
                        failure -> mLoop.execute(this::reconciliationFinished));
    }

    private void reconciliationFinished() {
        mReconciling = false;
        if (!mReadiness.upstreamReady() && mFailedLoadPolls == 0) {
            mReadiness.setUpstreamReady(true);
            sLogger.atInfo().log("engine is ready");
        }
    }

    private void subscribeToCacheEvents() {
        if (mStopped) {
            return;
        }
        mCacheEvents =
                mEngine.cacheEvents()
                        .subscribe()
                        .with(
                                mPrefixes::apply,
                                failure -> scheduleCacheResubscription(),
                                this::scheduleCacheResubscription);
    }

    private void scheduleCacheResubscription() {
        if (!mStopped) {
            mClock.schedule(
                    CACHE_RESUBSCRIBE_DELAY, () -> mLoop.execute(this::subscribeToCacheEvents));
        }
    }
}
