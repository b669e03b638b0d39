package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Future;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.agent.engine.Segment;
import org.tanagergap.protocol.v1.HoldReply;
import org.tanagergap.protocol.v1.HoldRequest;
import org.tanagergap.protocol.v1.PrefillSegmentReply;
import org.tanagergap.protocol.v1.PrefillSegmentRequest;

/** Guards against calls that are never answered because a time in them has no nanoseconds. */
class HugeDurationTests {

    private final FakeEngine mEngine = new FakeEngine();
    private final AgentFixture mFixture = AgentFixture.ofEngine(mEngine);

    private Future<HoldReply> hold(long millis) {
        return mFixture.mAgent
                .rpcHandler()
                .hold(
                        HoldRequest.newBuilder()
                                .setHoldId("h1")
                                .setTokens(100)
                                .setExpiresInMs(millis)
                                .build());
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, 10_000_000_000_000L})
    void aRequestWithAHugeDeadlineIsRun(long millis) {
        RecordingSink sink = new RecordingSink();
        mFixture.mAgent
                .rpcHandler()
                .run(AgentFixture.completion("a.1").setDeadlineLeftMs(millis).build(), sink);
        mEngine.finish("a.1", 0);

        assertThat(sink.last().hasFinished()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MIN_VALUE, -1, 0})
    void aRequestWithoutTimeIsRefused(long millis) {
        RecordingSink sink = new RecordingSink();
        mFixture.mAgent
                .rpcHandler()
                .run(AgentFixture.completion("a.1").setDeadlineLeftMs(millis).build(), sink);

        assertThat(sink.failure()).isEqualTo("deadline_exceeded/NOT_RUN");
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, 10_000_000_000_000L})
    void aReservationWithAHugeExpiryIsHeld(long millis) {
        assertThat(hold(millis).result().getHeld()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, 10_000_000_000_000L})
    void aPrefillWithAHugeDeadlineIsAnswered(long millis) {
        hold(10_000);
        Future<PrefillSegmentReply> reply =
                mFixture.mAgent
                        .rpcHandler()
                        .prefillSegment(
                                PrefillSegmentRequest.newBuilder()
                                        .setHoldId("h1")
                                        .setAttemptId("s.1")
                                        .setDeadlineLeftMs(millis)
                                        .build());
        mEngine.mPrefillEmitter.complete(new Segment("kv-1", 100));

        assertThat(reply.result().getSegment().getHandle()).isEqualTo("kv-1");
    }
}
