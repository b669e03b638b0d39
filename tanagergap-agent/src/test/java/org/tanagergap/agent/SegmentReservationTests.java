package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.agent.engine.Segment;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;
import org.tanagergap.protocol.v1.Execution;
import org.tanagergap.protocol.v1.HoldRequest;
import org.tanagergap.protocol.v1.PrefillSegmentReply;
import org.tanagergap.protocol.v1.PrefillSegmentRequest;
import org.tanagergap.protocol.v1.ReleaseHoldRequest;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * Guards against memory and KV cache that outlive their reservation, and against reconciliation
 * that cancels the work in a reservation.
 */
class SegmentReservationTests {

    private final FakeEngine mEngine = new FakeEngine();
    private final AgentFixture mFixture = AgentFixture.ofEngine(mEngine);

    @AfterEach
    void noMemoryStaysReserved() {
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(0);
    }

    @Test
    void anExpiredReservationReleasesItsMemoryAndSegments() {
        assertThat(hold("h1", 150)).isTrue();
        Future<PrefillSegmentReply> reply = prefill("h1", "s.1");
        mEngine.mPrefillEmitter.complete(new Segment("kv-1", 100));
        assertThat(reply.result().getSegment().getHandle()).isEqualTo("kv-1");
        mFixture.advance(4_000);
        assertThat(hold("h1", 150)).isTrue();
        mFixture.advance(4_000);
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(150);
        mFixture.advance(1_200);
        assertThat(mEngine.mReleasedSegments).containsExactly("kv-1");
    }

    @Test
    void aReservationAboveTheFreeMemoryIsRefused() {
        assertThat(hold("h1", 251)).isFalse();
    }

    @Test
    void aReleaseDuringPrefillCancelsItAndReleasesALateSegment() {
        hold("h1", 150);
        prefill("h1", "s.1");
        release("h1");
        release("h1");
        assertThat(mEngine.mCancelledRuns).containsExactly("s.1");
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(0);
    }

    @Test
    void aPrefillThatOutlastsTheExpiryExtendsItsReservation() {
        hold("h1", 150);
        Future<PrefillSegmentReply> reply = prefill("h1", "s.1");
        mEngine.mRuns.add(new EngineRun(new AttemptId("s.1"), 100));
        mFixture.advance(12_000);
        // Reconciliation must not cancel the prefill as an orphan.
        assertThat(mEngine.mCancelledRuns).isEmpty();
        mEngine.mPrefillEmitter.complete(new Segment("kv-1", 100));
        assertThat(reply.result().hasFailed()).isFalse();
        release("h1");
        assertThat(mEngine.mReleasedSegments).containsExactly("kv-1");
    }

    @Test
    void aPrefillIsBoundedByItsDeadline() {
        hold("h1", 150);
        Future<PrefillSegmentReply> reply = prefill("h1", "s.1");
        mFixture.advance(30_000);
        assertThat(reply.result().getFailed().getCode()).isEqualTo("deadline_exceeded");
        assertThat(mEngine.mCancelledRuns).containsExactly("s.1");
        mFixture.advance(11_000);
    }

    @Test
    void failedPrefillsReportWhetherTheEngineRanThem() {
        assertThat(prefill("none", "s.0").result().getFailed().getExecution())
                .isEqualTo(Execution.EXECUTION_NOT_RUN);
        hold("h1", 150);
        Future<PrefillSegmentReply> refused = prefill("h1", "s.1");
        mEngine.mPrefillEmitter.fail(RequestFailure.notRun(FailureCode.OVERLOADED, "full"));
        assertThat(refused.result().getFailed().getExecution())
                .isEqualTo(Execution.EXECUTION_NOT_RUN);
        Future<PrefillSegmentReply> broken = prefill("h1", "s.2");
        mEngine.mPrefillEmitter.fail(new IllegalStateException("connection reset"));
        assertThat(broken.result().getFailed().getExecution())
                .isEqualTo(Execution.EXECUTION_UNKNOWN);
        release("h1");
    }

    @Test
    void aCompletionUsesOnlyTheMemoryOfItsReservation() {
        hold("h1", 200);
        RecordingSink sink = new RecordingSink();
        Runnable close = run("a.1", "h1", sink);
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(200);
        RecordingSink second = new RecordingSink();
        run("b.1", "h1", second);
        assertThat(second.failure()).isEqualTo("unavailable/NOT_RUN");
        release("h1");
        mEngine.mRuns.add(new EngineRun(new AttemptId("a.1"), 200));
        mEngine.token("a.1", 0);
        mFixture.advance(9_000);
        mEngine.token("a.1", 1);
        mFixture.advance(3_000);
        assertThat(mEngine.mCancelledRuns).isEmpty();
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(200);
        close.run();
        assertThat(mEngine.mCancelledRuns).containsExactly("a.1");
    }

    @Test
    void drainingReleasesUnusedReservations() {
        hold("h1", 150);
        prefill("h1", "s.1");
        mEngine.mPrefillEmitter.complete(new Segment("kv-1", 100));
        assertThat(mFixture.mAgent.stop().isDone()).isTrue();
        assertThat(mEngine.mReleasedSegments).containsExactly("kv-1");
        assertThat(hold("h2", 10)).isFalse();
    }

    private boolean hold(String id, long tokens) {
        HoldRequest request =
                HoldRequest.newBuilder()
                        .setHoldId(id)
                        .setTokens(tokens)
                        .setExpiresInMs(5_000)
                        .build();
        return mFixture.mAgent.rpcHandler().hold(request).result().getHeld();
    }

    private void release(String id) {
        mFixture.mAgent
                .rpcHandler()
                .releaseHold(ReleaseHoldRequest.newBuilder().setHoldId(id).build());
    }

    private Future<PrefillSegmentReply> prefill(String hold, String attempt) {
        return mFixture.mAgent
                .rpcHandler()
                .prefillSegment(
                        PrefillSegmentRequest.newBuilder()
                                .setHoldId(hold)
                                .setAttemptId(attempt)
                                .setDeadlineLeftMs(30_000)
                                .build());
    }

    private Runnable run(String attempt, String hold, RecordingSink sink) {
        RunRequest.Builder request = AgentFixture.completion(attempt);
        request.getCompletionBuilder().setHoldId(hold);
        return mFixture.mAgent.rpcHandler().run(request.build(), sink);
    }
}
