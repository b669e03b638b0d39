package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.protocol.v1.CancelRequest;

/** Guards against leaked memory and wrong execution states when attempts end early. */
class ModelCancellationTests {

    private final FakeEngine mEngine = new FakeEngine();
    private final AgentFixture mFixture = AgentFixture.ofEngine(mEngine);
    private final RecordingSink mSink = new RecordingSink();

    @AfterEach
    void noMemoryStaysReserved() {
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(0);
        assertThat(mSink.mEndCount).isAtMost(1);
    }

    @Test
    void aQueuedAttemptWhoseCallIsClosedNeverReachesTheEngine() {
        fillMemory();
        Runnable close = run("c.1", mSink);
        close.run();
        releaseMemory();
        assertThat(mEngine.mStreams.keySet()).containsExactly("a.1", "b.1");
        assertThat(mSink.mEvents).isEmpty();
    }

    @Test
    void closingTheCallOfARunningAttemptCancelsItOnce() {
        Runnable close = run("a.1", mSink);
        mEngine.token("a.1", 0);
        close.run();
        close.run();
        mFixture.mAgent.rpcHandler().cancel(CancelRequest.newBuilder().setAttemptId("a.1").build());
        mEngine.token("a.1", 1);
        assertThat(mEngine.mCancelledRuns).containsExactly("a.1");
        assertThat(mEngine.mClosedStreams).containsExactly("a.1");
        assertThat(mSink.tokens()).containsExactly(0L);
    }

    @Test
    void cancelEndsAnAttemptAndIgnoresUnknownOnes() {
        run("a.1", mSink);
        mFixture.mAgent
                .rpcHandler()
                .cancel(CancelRequest.newBuilder().setAttemptId("other").build());
        assertThat(mSink.mEndCount).isEqualTo(0);
        mFixture.mAgent.rpcHandler().cancel(CancelRequest.newBuilder().setAttemptId("a.1").build());
        assertThat(mSink.mEndCount).isEqualTo(1);
    }

    @Test
    void memoryIsReleasedOnceWhenTheEngineConfirmsAfterTheTimeout() {
        mEngine.mDeferCancellations = true;
        Runnable close = run("a.1", mSink);
        close.run();
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(110);
        mFixture.advance(1_000);
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(0);
        run("b.1", new RecordingSink());
        mEngine.mPendingCancellations.get(0).complete(null);
        // A second release would free the memory of the attempt that is running.
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(110);
        mEngine.finish("b.1", 0);
    }

    @Test
    void aDeadlineThatPassesInTheQueueIsNotRun() {
        fillMemory();
        mFixture.mAgent
                .rpcHandler()
                .run(AgentFixture.completion("c.1").setDeadlineLeftMs(3_000).build(), mSink);
        mFixture.advance(3_000);
        assertThat(mSink.failure()).isEqualTo("deadline_exceeded/NOT_RUN");
        releaseMemory();
        assertThat(mEngine.mStreams).doesNotContainKey("c.1");
    }

    @Test
    void aDeadlineThatPassesWhileRunningCancelsTheRun() {
        mFixture.mAgent
                .rpcHandler()
                .run(AgentFixture.completion("a.1").setDeadlineLeftMs(3_000).build(), mSink);
        mFixture.advance(3_000);
        assertThat(mSink.failure()).isEqualTo("deadline_exceeded/UNKNOWN");
        assertThat(mEngine.mCancelledRuns).containsExactly("a.1");
    }

    @Test
    void orphansAreCancelledBeforeAnyWorkIsAdmitted() {
        FakeEngine engine = new FakeEngine();
        engine.mRuns.add(new EngineRun(new AttemptId("old.1"), 50));
        engine.mDeferCancellations = true;
        AgentFixture fixture = AgentFixture.ofEngine(engine);
        assertThat(engine.mCancelledRuns).containsExactly("old.1");
        fixture.mAgent.rpcHandler().run(AgentFixture.completion("a.1").build(), mSink);
        assertThat(mSink.failure()).isEqualTo("unavailable/NOT_RUN");
        engine.mPendingCancellations.get(0).complete(null);
        RecordingSink second = new RecordingSink();
        fixture.mAgent.rpcHandler().run(AgentFixture.completion("a.2").build(), second);
        engine.finish("a.2", 0);
        assertThat(second.last().hasFinished()).isTrue();
    }

    @Test
    void aRunMissingFromTwoListsOfTheEngineIsReleased() {
        run("a.1", mSink);
        mEngine.token("a.1", 0);
        mFixture.advance(5_000);
        mEngine.token("a.1", 1);
        assertThat(mSink.failure()).isEmpty();
        mFixture.advance(5_000);
        assertThat(mSink.failure()).isEqualTo("upstream_failed/RAN");
    }

    @Test
    void aRunThatTheEngineKeptAfterItsEndIsCancelledByReconciliation() {
        mEngine.mRuns.add(new EngineRun(new AttemptId("lost.1"), 50));
        mFixture.advance(5_000);
        assertThat(mEngine.mCancelledRuns).containsExactly("lost.1");
    }

    @Test
    void anUnreachableEngineMakesTheAgentUnreadyUntilItsRunsAreReconciled() {
        mEngine.mReachable = false;
        mFixture.advance(600);
        run("a.1", mSink);
        assertThat(mSink.failure()).isEqualTo("unavailable/NOT_RUN");
        assertThat(mSink.last().getHint().getUpstreamReady()).isFalse();
        mEngine.mReachable = true;
        mEngine.mRuns.add(new EngineRun(new AttemptId("old.1"), 50));
        mFixture.advance(300);
        assertThat(mEngine.mCancelledRuns).containsExactly("old.1");
        assertThat(mFixture.mAgent.readiness().acceptsWork()).isTrue();
    }

    @Test
    void aRepeatedAttemptIsRefusedWithoutEndingTheFirst() {
        run("a.1", new RecordingSink());
        run("a.1", mSink);
        assertThat(mSink.failure()).isEqualTo("in_progress/UNKNOWN");
        mEngine.finish("a.1", 0);
        assertThat(mEngine.mCompletions).hasSize(1);
    }

    private void fillMemory() {
        run("a.1", new RecordingSink());
        run("b.1", new RecordingSink());
    }

    private void releaseMemory() {
        mEngine.finish("a.1", 0);
        mEngine.finish("b.1", 0);
    }

    private Runnable run(String attempt, RecordingSink sink) {
        return mFixture.mAgent.rpcHandler().run(AgentFixture.completion(attempt).build(), sink);
    }
}
