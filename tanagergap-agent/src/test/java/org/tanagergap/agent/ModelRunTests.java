package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.agent.engine.EngineEvent;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;

/**
 * Guards against lost or repeated tokens, wrong execution states and memory that stays reserved.
 */
class ModelRunTests {

    private final FakeEngine mEngine = new FakeEngine();
    private final AgentFixture mFixture = AgentFixture.ofEngine(mEngine);
    private final RecordingSink mSink = new RecordingSink();

    @AfterEach
    void noMemoryStaysReserved() {
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(0);
        assertThat(mSink.mEndCount).isAtMost(1);
    }

    @Test
    void aCompletionIsStreamedWithHintsOnItsFirstAndLastEvent() {
        run("a.1", mSink);
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(110);
        mEngine.token("a.1", 0);
        mEngine.token("a.1", 1);
        mEngine.finish("a.1", 2);
        assertThat(mSink.mEvents.get(0).hasAdmitted()).isTrue();
        assertThat(mSink.tokens()).containsExactly(0L, 1L).inOrder();
        assertThat(mSink.last().getFinished().getOutputTokens()).isEqualTo(2);
        assertThat(mSink.mEvents.stream().map(e -> e.hasHint()).toList())
                .containsExactly(true, false, false, true)
                .inOrder();
        assertThat(mSink.last().getHint().getPrefixHashesList()).containsExactly("prefix-a.1");
        assertThat(mSink.mEndCount).isEqualTo(1);
    }

    @Test
    void aRequestRefusedByTheEngineIsNotRun() {
        run("a.1", mSink);
        mEngine.mStreams.get("a.1").fail(RequestFailure.notRun(FailureCode.OVERLOADED, "full"));
        assertThat(mSink.failure()).isEqualTo("overloaded/NOT_RUN");
        assertThat(mEngine.mCancelledRuns).isEmpty();
    }

    @Test
    void aConnectionLostBeforeTheFirstTokenLeavesTheExecutionUnknown() {
        run("a.1", mSink);
        mEngine.mStreams.get("a.1").fail(new IllegalStateException("connection reset"));
        assertThat(mSink.failure()).isEqualTo("upstream_failed/UNKNOWN");
    }

    @Test
    void aStreamThatEndsAfterATokenReportsThatTheRequestRan() {
        run("a.1", mSink);
        mEngine.token("a.1", 0);
        mEngine.mStreams.get("a.1").complete();
        assertThat(mSink.failure()).isEqualTo("upstream_failed/RAN");
    }

    @Test
    void anIdleEngineIsCancelledByTheStallTimer() {
        run("a.1", mSink);
        mEngine.token("a.1", 0);
        mFixture.advance(9_900);
        assertThat(mSink.failure()).isEmpty();
        mFixture.advance(200);
        assertThat(mSink.failure()).isEqualTo("upstream_failed/RAN");
        assertThat(mEngine.mCancelledRuns).containsExactly("a.1");
        assertThat(mEngine.mClosedStreams).containsExactly("a.1");
    }

    @Test
    void eventsOfOtherRequestsAndRepeatedEventsAreDropped() {
        run("a.1", mSink);
        mEngine.mStreams.get("a.1").emit(new EngineEvent.Token("b.1", 0, "crossed"));
        mEngine.mStreams.get("a.1").emit(new EngineEvent.Finish("b.1", "stop", 1, 0, 0));
        mEngine.token("a.1", 0);
        mEngine.token("a.1", 0);
        mEngine.finish("a.1", 1);
        assertThat(mSink.tokens()).containsExactly(0L);
        assertThat(mSink.last().hasFinished()).isTrue();
        assertThat(mFixture.counter("agent_dropped_events_total{reason=other_request}"))
                .isEqualTo(2);
        assertThat(mFixture.counter("agent_dropped_events_total{reason=repeated_index}"))
                .isEqualTo(1);
    }

    @Test
    void aGapInTheTokenIndexesFailsTheAttempt() {
        run("a.1", mSink);
        mEngine.token("a.1", 0);
        mEngine.token("a.1", 2);
        assertThat(mSink.failure()).isEqualTo("upstream_failed/RAN");
        assertThat(mSink.tokens()).containsExactly(0L);
    }

    @Test
    void aResponseWithoutItsLastTokenFailsTheAttempt() {
        run("a.1", mSink);
        mEngine.token("a.1", 0);
        mEngine.finish("a.1", 2);
        assertThat(mSink.failure()).isEqualTo("upstream_failed/RAN");
    }

    private void run(String attempt, RecordingSink sink) {
        mFixture.mAgent.rpcHandler().run(AgentFixture.completion(attempt).build(), sink);
    }
}
