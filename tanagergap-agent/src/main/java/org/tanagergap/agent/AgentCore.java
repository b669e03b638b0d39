package org.tanagergap.agent;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.tanagergap.agent.attempt.AttemptContext;
import org.tanagergap.agent.attempt.AttemptFactory;
import org.tanagergap.agent.attempt.AttemptTable;
import org.tanagergap.agent.attempt.ModelAttemptFactory;
import org.tanagergap.agent.engine.ModelEngine;
import org.tanagergap.agent.engine.UnsupportedModelEngine;
import org.tanagergap.agent.load.AgentReadiness;
import org.tanagergap.agent.load.BytesPerTokenEstimator;
import org.tanagergap.agent.load.CapacityControl;
import org.tanagergap.agent.load.EngineMonitor;
import org.tanagergap.agent.load.HintSource;
import org.tanagergap.agent.load.LatestLoadReport;
import org.tanagergap.agent.load.PrefixTable;
import org.tanagergap.agent.plain.PlainAttemptFactory;
import org.tanagergap.agent.plain.PlainServiceClient;
import org.tanagergap.agent.plain.PlainUpstream;
import org.tanagergap.agent.policy.PolicyRegistry;
import org.tanagergap.agent.reservation.SegmentReservations;
import org.tanagergap.agent.server.UpstreamAgentRpcHandler;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.ratelimit.UpstreamPause;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.runtime.time.PeriodicTask;
import org.tanagergap.runtime.trace.Tracing;
import org.tanagergap.state.intent.IntentLog;

/** Agent without its network interfaces; connects admission, attempts and the upstream. */
public final class AgentCore implements Service {

    /** Upper bound of the delay before an expired reservation or queued item is removed. */
    private static final Duration SCHEDULING_INTERVAL = Duration.ofMillis(100);

    /** Time after the drain timeout for cancellations to reach the engine. */
    private static final Duration STOP_GRACE = Duration.ofSeconds(2);

    private final AgentSettings mSettings;
    private final Executor mLoop;
    private final RuntimeClock mClock;
    private final AgentReadiness mReadiness = new AgentReadiness();
    private final AttemptTable mAttempts;
    private final SegmentReservations mReservations;
    private final UpstreamAgentRpcHandler mRpcHandler;
    private final Optional<EngineMonitor> mMonitor;
    private final PeriodicTask mSchedulingTask;

    private AgentCore(
            AgentSettings settings,
            Executor loop,
            RuntimeClock clock,
            MetricRegistry metrics,
            Tracing tracing,
            UpstreamScheduler scheduler,
            Optional<ModelEngine> engine,
            Optional<PlainServiceClient> plainClient) {
        mSettings = settings;
        mLoop = loop;
        mClock = clock;
        PolicyRegistry policies = new PolicyRegistry(clock);
        LatestLoadReport loadReport = new LatestLoadReport(clock);
        PrefixTable prefixes = new PrefixTable(metrics);
        BytesPerTokenEstimator tokenEstimator = new BytesPerTokenEstimator();
        HintSource hints =
                new HintSource(
                        scheduler, mReadiness, policies, loadReport, prefixes, tokenEstimator);
        AttemptContext context =
                new AttemptContext(
                        settings.name(),
                        settings.failureDomain(),
                        loop,
                        clock,
                        hints::since,
                        metrics,
                        tracing);
        UpstreamPause pause = new UpstreamPause();
        ModelEngine modelEngine = engine.orElseGet(UnsupportedModelEngine::new);
        AttemptFactory factory =
                plainClient
                        .<AttemptFactory>map(c -> new PlainAttemptFactory(context, c))
                        .orElseGet(
                                () ->
                                        new ModelAttemptFactory(
                                                context,
                                                scheduler,
                                                modelEngine,
                                                prefixes,
                                                tokenEstimator,
                                                pause));
        long maxCapacity =
                plainClient.isPresent() ? settings.concurrency() : settings.memoryTokens();
        CapacityControl capacity = new CapacityControl(scheduler, maxCapacity);
        mReservations = new SegmentReservations(scheduler, modelEngine, clock, loop);
        mAttempts =
                new AttemptTable(
                        context,
                        scheduler,
                        factory,
                        mReservations,
                        policies,
                        mReadiness,
                        pause,
                        settings.service());
        mRpcHandler =
                new UpstreamAgentRpcHandler(
                        settings,
                        loop,
                        mAttempts,
                        mReservations,
                        scheduler,
                        policies,
                        mReadiness,
                        capacity,
                        hints);
        mMonitor =
                engine.map(
                        e ->
                                new EngineMonitor(
                                        e,
                                        clock,
                                        loop,
                                        metrics,
                                        mReadiness,
                                        loadReport,
                                        prefixes,
                                        settings.loadInterval(),
                                        mAttempts::reconcile,
                                        capacity::report));
        mSchedulingTask =
                new PeriodicTask(
                        clock,
                        SCHEDULING_INTERVAL,
                        () -> loop.execute(mAttempts::expireAndDispatch));
        registerGauges(metrics, scheduler);
    }

    private static void registerGauges(MetricRegistry metrics, UpstreamScheduler scheduler) {
        metrics.register("agent_reserved_tokens", (Gauge<Long>) scheduler::reservedTokens);
        metrics.register("agent_free_tokens", (Gauge<Long>) scheduler::freeTokens);
        metrics.register("agent_running", (Gauge<Integer>) scheduler::running);
    }

    /** Creates an agent whose upstream is a model engine. */
    public static AgentCore ofEngine(
            AgentSettings settings,
            Executor loop,
            RuntimeClock clock,
            MetricRegistry metrics,
            Tracing tracing,
            UpstreamScheduler scheduler,
            ModelEngine engine) {
        return new AgentCore(
                settings,
                loop,
                clock,
                metrics,
                tracing,
                scheduler,
                Optional.of(engine),
                Optional.empty());
    }

    /** Creates an agent whose upstream is a plain service. */
    public static AgentCore ofPlainService(
            AgentSettings settings,
            Executor loop,
            RuntimeClock clock,
            MetricRegistry metrics,
            Tracing tracing,
            UpstreamScheduler scheduler,
            PlainUpstream upstream,
            IntentLog intents) {
        return new AgentCore(
                settings,
                loop,
                clock,
                metrics,
                tracing,
                scheduler,
                Optional.empty(),
                Optional.of(new PlainServiceClient(upstream, intents, clock, loop)));
    }

    /** Handler of the gRPC calls of entries and operators. */
    public UpstreamAgentRpcHandler rpcHandler() {
        return mRpcHandler;
    }

    public AgentReadiness readiness() {
        return mReadiness;
    }

    @Override
    public CompletableFuture<Void> start() {
        mSchedulingTask.start();
        if (mMonitor.isEmpty()) {
            // A plain service has no runs to reconcile and no standard health check.
            mReadiness.setUpstreamReady(true);
        }
        mMonitor.ifPresent(EngineMonitor::start);
        return CompletableFuture.completedFuture(null);
    }

    /** Refuses new work, waits at most the drain timeout for running work, then stops. */
    @Override
    public CompletableFuture<Void> stop() {
        mReadiness.startDraining();
        CompletableFuture<Void> idle = new CompletableFuture<>();
        Timer drainTimer =
                mClock.schedule(mSettings.drainTimeout(), () -> mLoop.execute(mAttempts::failAll));
        Timer stopTimer =
                mClock.schedule(
                        mSettings.drainTimeout().plus(STOP_GRACE), () -> idle.complete(null));
        mLoop.execute(() -> mAttempts.drain().thenRun(() -> idle.complete(null)));
        return idle.thenCompose(ignored -> releaseReservations())
                .whenComplete(
                        (ignored, failure) -> {
                            List.of(drainTimer, stopTimer).forEach(Timer::cancel);
                            mMonitor.ifPresent(EngineMonitor::stop);
                            mSchedulingTask.stop();
                        });
    }

    private CompletableFuture<Void> releaseReservations() {
        CompletableFuture<Void> released = new CompletableFuture<>();
        mLoop.execute(
                () ->
                        mReservations
                                .releaseAll()
                                .whenComplete((v, failure) -> released.complete(null)));
        return released;
    }
}
