package org.tanagergap.agent;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.tanagergap.agent.attempt.EventSink;
import org.tanagergap.agent.plain.PlainCall;
import org.tanagergap.agent.plain.PlainServiceResponse;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.decisions.retry.RetryBudget;
import org.tanagergap.decisions.retry.RetryPolicy;
import org.tanagergap.decisions.scheduling.FairUpstreamScheduler;
import org.tanagergap.decisions.scheduling.SchedulerSettings;
import org.tanagergap.protocol.v1.Failed;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.trace.TraceOutput;
import org.tanagergap.runtime.trace.Tracing;
import org.tanagergap.state.fake.FakeKeyValueStore;
import org.tanagergap.state.fake.SimulatedProcess;
import org.tanagergap.state.intent.IntentLogSettings;
import org.tanagergap.state.intent.KeyValueIntentLog;
import org.tanagergap.testing.PausedClock;

/** Simulated callers that retry, agents, intent log and order service; checks the outcomes. */
final class OrderPathModel {

    static final int AGENTS = 2;

    private static final long DEADLINE_MILLIS = 5_000;

    private final Random mRandom;
    private final PausedClock mClock = new PausedClock();
    private final FakeKeyValueStore mStore = new FakeKeyValueStore(mClock);
    private final RetryPolicy mRetries = new RetryPolicy(mClock, new RetryBudget());
    private final List<Agent> mAgents = new ArrayList<>();
    private final List<Caller> mCallers = new ArrayList<>();
    private final Map<String, Integer> mOrders = new HashMap<>();
    private final Set<String> mSentAttempts = new HashSet<>();
    private final List<String> mViolations = new ArrayList<>();
    private int mWriterCount;

    OrderPathModel(Random random) {
        mRandom = random;
        for (int i = 0; i < AGENTS; i++) {
            mAgents.add(new Agent());
        }
    }

    FakeKeyValueStore store() {
        return mStore;
    }

    void request(String key) {
        Caller caller = new Caller("r" + mCallers.size(), key);
        mCallers.add(caller);
        mClock.schedule(Duration.ofMillis(DEADLINE_MILLIS), caller::deadlinePassed);
        caller.attempt();
    }

    void pause(int agent) {
        mAgents.get(agent).mProcess.pause();
    }

    void resume(int agent) {
        mAgents.get(agent).mProcess.resume();
    }

    /** Crashes an agent, breaks its streams and replaces it with a new agent. */
    void crash(int agent) {
        Agent crashed = mAgents.get(agent);
        crashed.mProcess.crash();
        mAgents.set(agent, new Agent());
        List.copyOf(crashed.mOpenAttempts).forEach(Attempt::connectionLost);
    }

    void advance(long millis) {
        mClock.advance(Duration.ofMillis(millis));
    }

    /** Ends all faults and advances the clock until all requests have ended. */
    void clearFaults() {
        mStore.clearFaults();
        for (int i = 0; i < AGENTS; i++) {
            resume(i);
        }
        for (int i = 0; i < 30; i++) {
            advance(1_000);
        }
    }

    List<String> violations() {
        mOrders.forEach((key, count) -> check(count <= 1, key + " was placed " + count + " times"));
        for (Caller caller : mCallers) {
            check(caller.mEndCount == 1, caller.mId + " ended " + caller.mEndCount + " times");
            if (caller.mResult == Execution.NOT_RUN) {
                boolean sent = mSentAttempts.stream().anyMatch(a -> a.startsWith(caller.mId + "."));
                check(!sent, caller.mId + " states not_run but was sent");
            }
        }
        for (Agent agent : mAgents) {
            check(agent.mScheduler.reservedTokens() == 0, "a reservation was not released");
            check(agent.mScheduler.running() == 0, "an attempt is still running");
        }
        return mViolations;
    }

    private void check(boolean condition, String violation) {
        if (!condition) {
            mViolations.add(violation);
        }
    }

    private Duration latency() {
        return Duration.ofMillis(1 + mRandom.nextInt(20));
    }

    /** Order service; its connection may break before or after an order is placed, or be slow. */
    private Uni<PlainServiceResponse> place(PlainCall call, SimulatedProcess process) {
        mSentAttempts.add(call.attemptId().value());
        int fault = mRandom.nextInt(8);
        long millis = fault == 0 ? mRandom.nextInt(9_000) : 1 + mRandom.nextInt(30);
        return Uni.createFrom()
                .emitter(
                        emitter ->
                                mClock.schedule(
                                        Duration.ofMillis(millis),
                                        () -> {
                                            if (fault != 1) {
                                                mOrders.merge(
                                                        call.idempotencyKey(), 1, Integer::sum);
                                            }
                                            process.deliver(
                                                    () -> {
                                                        if (fault == 1 || fault == 2) {
                                                            emitter.fail(
                                                                    new IllegalStateException(
                                                                            "reset"));
                                                        } else {
                                                            emitter.complete(response());
                                                        }
                                                    });
                                        }));
    }

    private static PlainServiceResponse response() {
        return new PlainServiceResponse(201, List.of(), ByteString.copyFromUtf8("placed"), false);
    }

    /** One agent process with its own intent log and scheduler. */
    private final class Agent {

        private final SimulatedProcess mProcess = new SimulatedProcess(mClock);
        private final FairUpstreamScheduler mScheduler =
                new FairUpstreamScheduler(mProcess, SchedulerSettings.defaults());
        private final List<Attempt> mOpenAttempts = new ArrayList<>();
        private final AgentCore mCore;

        Agent() {
            IntentLogSettings settings =
                    new IntentLogSettings(
                            "writer-" + mWriterCount++,
                            2,
                            Duration.ofMillis(40),
                            Duration.ofSeconds(2),
                            Duration.ofSeconds(10),
                            Duration.ofHours(24),
                            Duration.ofMinutes(10));
            mCore =
                    AgentCore.ofPlainService(
                            new AgentSettings(
                                    new HostPort("127.0.0.1", 0),
                                    "orders-1",
                                    "domain-1",
                                    "http://127.0.0.1:1",
                                    UpstreamKind.PLAIN,
                                    "service-1",
                                    100,
                                    4,
                                    Optional.empty(),
                                    Duration.ofMillis(250),
                                    Optional.empty(),
                                    Duration.ofSeconds(30)),
                            task ->
                                    mClock.schedule(
                                            Duration.ofNanos(1), () -> mProcess.deliver(task)),
                            mProcess,
                            new MetricRegistry(),
                            new Tracing("test", TraceOutput.NONE, Optional.empty()),
                            mScheduler,
                            call -> place(call, mProcess),
                            new KeyValueIntentLog(mStore.connect(mProcess), mProcess, settings));
            mCore.start();
        }
    }

    /** One attempt; its messages are delayed, and its request may arrive twice. */
    private final class Attempt implements EventSink {

        private final Caller mCaller;
        private final Agent mAgent;
        private final String mId;
        private boolean mEnded;

        Attempt(Caller caller, Agent agent, String id) {
            mCaller = caller;
            mAgent = agent;
            mId = id;
        }

        void start() {
            mAgent.mOpenAttempts.add(this);
            int copies = mRandom.nextInt(10) == 0 ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                EventSink sink = i == 0 ? this : new RecordingSink();
                mClock.schedule(latency(), () -> mAgent.mProcess.deliver(() -> arrive(sink)));
            }
        }

        private void arrive(EventSink sink) {
            long remaining = mCaller.mDeadline.remaining(mClock).toMillis();
            if (remaining <= 0) {
                return;
            }
            RunRequest.Builder request = AgentFixture.order(mId, mCaller.mKey);
            mAgent.mCore.rpcHandler().run(request.setDeadlineLeftMs(remaining).build(), sink);
        }

        @Override
        public void send(RunEvent event) {
            mClock.schedule(latency(), () -> received(event));
        }

        @Override
        public boolean isFull() {
            return false;
        }

        @Override
        public void onDrain(Runnable action) {
            action.run();
        }

        @Override
        public void end() {}

        private void received(RunEvent event) {
            // The entry drops events that arrive after the request has ended.
            if (mEnded || mCaller.mEndCount > 0 || !(event.hasFinished() || event.hasFailed())) {
                return;
            }
            mEnded = true;
            mAgent.mOpenAttempts.remove(this);
            if (event.hasFinished()) {
                mCaller.end(Execution.RAN);
            } else {
                mCaller.failed(failure(event.getFailed()));
            }
        }

        /** Reports a broken connection; the request may have reached the agent. */
        void connectionLost() {
            if (!mEnded) {
                mEnded = true;
                mCaller.failed(
                        RequestFailure.of(
                                FailureCode.UPSTREAM_FAILED, Execution.UNKNOWN, "broken"));
            }
        }

        private static RequestFailure failure(Failed failed) {
            return RequestFailure.of(
                    FailureCode.ofWireName(failed.getCode()).orElse(FailureCode.UPSTREAM_FAILED),
                    Execution.valueOf(failed.getExecution().name().substring(10)),
                    failed.getMessage());
        }
    }

    /** Request at the entry, which retries as the policy allows and ends at its deadline. */
    private final class Caller {

        private final String mId;
        private final String mKey;
        private final Deadline mDeadline =
                Deadline.after(mClock, Duration.ofMillis(DEADLINE_MILLIS));
        private Execution mResult;
        private int mAttempts;
        private int mEndCount;

        Caller(String id, String key) {
            mId = id;
            mKey = key;
        }

        void attempt() {
            Agent agent = mAgents.get(mRandom.nextInt(AGENTS));
            new Attempt(this, agent, mId + "." + ++mAttempts).start();
        }

        void failed(RequestFailure failure) {
            if (mEndCount > 0) {
                return;
            }
            if (mRetries.mayRetry(failure, false, mAttempts, mDeadline)) {
                attempt();
            } else {
                end(failure.execution());
            }
        }

        void deadlinePassed() {
            if (mEndCount == 0) {
                end(Execution.UNKNOWN);
            }
        }

        void end(Execution result) {
            mResult = mEndCount == 0 ? result : mResult;
            mEndCount++;
        }
    }
}
