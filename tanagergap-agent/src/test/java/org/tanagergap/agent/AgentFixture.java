package org.tanagergap.agent;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.tanagergap.agent.plain.PlainUpstream;
import org.tanagergap.decisions.scheduling.FairUpstreamScheduler;
import org.tanagergap.decisions.scheduling.SchedulerSettings;
import org.tanagergap.protocol.v1.CompletionWork;
import org.tanagergap.protocol.v1.CostEstimate;
import org.tanagergap.protocol.v1.PlainWork;
import org.tanagergap.protocol.v1.PolicyStamp;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.trace.TraceOutput;
import org.tanagergap.runtime.trace.Tracing;
import org.tanagergap.state.intent.IntentLog;
import org.tanagergap.testing.PausedClock;

/** Agent with a fake upstream, the real scheduler, a paused clock and a serial executor. */
final class AgentFixture {

    /** Memory of the engine; one request of the fixture reserves 110 tokens. */
    static final int MEMORY_TOKENS = 250;

    final PausedClock mClock = new PausedClock();
    final MetricRegistry mMetrics = new MetricRegistry();
    final FairUpstreamScheduler mScheduler =
            new FairUpstreamScheduler(mClock, SchedulerSettings.defaults());
    final AgentCore mAgent;

    private AgentFixture(FakeEngine engine, PlainUpstream upstream, IntentLog intents) {
        Tracing tracing = new Tracing("test", TraceOutput.NONE, Optional.empty());
        Executor loop = new SerialExecutor();
        UpstreamKind kind = engine == null ? UpstreamKind.PLAIN : UpstreamKind.MODEL;
        AgentSettings settings =
                new AgentSettings(
                        new HostPort("127.0.0.1", 0),
                        "engine-1",
                        "domain-1",
                        "http://127.0.0.1:1",
                        kind,
                        "service-1",
                        MEMORY_TOKENS,
                        2,
                        Optional.empty(),
                        Duration.ofMillis(250),
                        Optional.empty(),
                        Duration.ofSeconds(30));
        mAgent =
                engine != null
                        ? AgentCore.ofEngine(
                                settings, loop, mClock, mMetrics, tracing, mScheduler, engine)
                        : AgentCore.ofPlainService(
                                settings,
                                loop,
                                mClock,
                                mMetrics,
                                tracing,
                                mScheduler,
                                upstream,
                                intents);
        mAgent.start();
    }

    static AgentFixture ofEngine(FakeEngine engine) {
        return new AgentFixture(engine, null, null);
    }

    static AgentFixture ofPlainService(PlainUpstream upstream, IntentLog intents) {
        return new AgentFixture(null, upstream, intents);
    }

    void advance(long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    long counter(String name) {
        return mMetrics.counter(name).getCount();
    }

    static RunRequest.Builder request(String attempt) {
        return RunRequest.newBuilder()
                .setRequestId("request-" + attempt)
                .setAttemptId(attempt)
                .setService("service-1")
                .setDeadlineLeftMs(60_000)
                .setPolicy(
                        PolicyStamp.newBuilder()
                                .setConfigurationVersion(1)
                                .setWorkspace("w1")
                                .setWeight(1)
                                .setRank("urgent")
                                .setRankPriority(1)
                                .setRankFloorPercent(10));
    }

    static RunRequest.Builder completion(String attempt) {
        return request(attempt)
                .setCompletion(
                        CompletionWork.newBuilder()
                                .setModel("m1")
                                .setPrompt("p".repeat(400))
                                .setPrefixHash("prefix-" + attempt)
                                .setCost(
                                        CostEstimate.newBuilder()
                                                .setPromptTokens(100)
                                                .setMaxOutputTokens(10)));
    }

    static RunRequest.Builder order(String attempt, String key) {
        return request(attempt)
                .setPlain(
                        PlainWork.newBuilder()
                                .setMethod("POST")
                                .setPath("/orders")
                                .setBody(ByteString.copyFromUtf8("lids"))
                                .setIdempotencyKey(key));
    }

    /** Runs tasks one at a time, like an event loop. */
    private static final class SerialExecutor implements Executor {

        private final ArrayDeque<Runnable> mTasks = new ArrayDeque<>();
        private boolean mRunning;

        @Override
        public void execute(Runnable task) {
            mTasks.add(task);
            if (mRunning) {
                return;
            }
            mRunning = true;
            while (!mTasks.isEmpty()) {
                mTasks.poll().run();
            }
            mRunning = false;
        }
    }
}
