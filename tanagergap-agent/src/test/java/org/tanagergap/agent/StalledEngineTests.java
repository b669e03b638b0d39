package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClientRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.HoldRequest;
import org.tanagergap.protocol.v1.PolicyStamp;
import org.tanagergap.protocol.v1.PrefillSegmentReply;
import org.tanagergap.protocol.v1.PrefillSegmentRequest;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcClient;
import org.tanagergap.standins.engine.EngineServer;
import org.tanagergap.standins.engine.EngineServerSettings;
import org.tanagergap.standins.engine.EngineSettings;

/** Guards against lost runs and wrong ends of streams of an engine that is silent or breaks off. */
class StalledEngineTests {

    private static final int OUTPUT_TOKENS = 200;
    private static final List<Long> WHOLE = LongStream.range(0, OUTPUT_TOKENS).boxed().toList();

    private final NetworkFixture mFixture = new NetworkFixture();
    private EngineServer mEngine;

    @BeforeEach
    void startAgent() {
        mEngine =
                new EngineServer(
                        mFixture.mVertx,
                        mFixture.mClock,
                        NetworkFixture.ANY_PORT,
                        EngineSettings.of("m1", 400_000).withPrefillTokensPerSecond(10_000_000),
                        new EngineServerSettings(
                                "m1", Duration.ofMillis(50), Duration.ofMillis(10), 3, false));
        mFixture.start(mEngine);
        mFixture.startAgent(UpstreamKind.MODEL, mEngine.port(), Optional.empty());
    }

    @AfterEach
    void noMemoryStaysReservedOnEitherSide() {
        mFixture.awaitTrue(() -> mFixture.status().getReservedTokens() == 0);
        mFixture.awaitTrue(() -> engineRuns() == 0);
        mFixture.close();
    }

    @Test
    void aRunSurvivesAShortSilenceOfItsEngine() {
        assertRunSurvives(1_400);
    }

    @Test
    void aRunSurvivesALongSilenceOfItsEngineAndTheAgentIsReadyAgain() {
        assertRunSurvives(5_000);
        mFixture.awaitTrue(() -> mFixture.status().getHint().getUpstreamReady());
        assertThat(run("a.2", 10).last().hasFinished()).isTrue();
    }

    private void assertRunSurvives(long silenceMillis) {
        mFixture.faults(
                mEngine.port(),
                new JsonObject().put("silence_ms", silenceMillis).put("silent_after_tokens", 3));
        RecordingSink sink = run("a.1", OUTPUT_TOKENS);
        assertThat(sink.tokens()).isEqualTo(WHOLE);
        assertThat(sink.last().hasFinished()).isTrue();
    }

    @Test
    void aSilenceOfTheEngineDoesNotMakeTheAgentRefuseLaterWork() {
        mFixture.faults(
                mEngine.port(),
                new JsonObject().put("silence_ms", 1_400).put("silent_after_tokens", 3));
        assertThat(run("a.1", 10).last().hasFinished()).isTrue();
        RunRequest.Builder request = AgentFixture.completion("b.1").setDeadlineLeftMs(20_000);
        request.getCompletionBuilder().getCostBuilder().setMaxOutputTokens(OUTPUT_TOKENS);
        RecordingSink sink = mFixture.run(request.build());
        assertThat(sink.failure()).isEmpty();
        assertThat(sink.tokens()).isEqualTo(WHOLE);
    }

    @Test
    void aRunThatIsSentToASilentEngineSurvives() {
        mFixture.faults(mEngine.port(), new JsonObject().put("silence_ms", 3_000));
        RecordingSink sink = run("a.1", OUTPUT_TOKENS);
        assertThat(sink.tokens()).isEqualTo(WHOLE);
        assertThat(sink.last().hasFinished()).isTrue();
    }

    @Test
    void runsThatAreCancelledInASilenceLeaveNoMemoryReserved() {
        List<GrpcClientRequest<RunRequest, RunEvent>> calls = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            RunRequest.Builder request = AgentFixture.completion("a." + i);
            request.getCompletionBuilder().getCostBuilder().setMaxOutputTokens(10_000);
            GrpcClientRequest<RunRequest, RunEvent> call =
                    NetworkFixture.await(
                            mFixture.mGrpc.request(
                                    SocketAddress.inetSocketAddress(
                                            mFixture.mAgent.port(), "127.0.0.1"),
                                    UpstreamAgentGrpcClient.Run));
            call.send(request.build());
            calls.add(call);
        }
        mFixture.awaitTrue(() -> engineRuns() == 20);
        mFixture.faults(mEngine.port(), new JsonObject().put("silence_ms", 3_000));
        calls.forEach(GrpcClientRequest::cancel);
        mFixture.awaitTrue(() -> mFixture.status().getReservedTokens() == 0);
        assertThat(run("b.1", 10).last().hasFinished()).isTrue();
        // Orphaned runs would be found by the next reconciliation only.
        assertThat(engineRuns()).isEqualTo(0);
    }

    @Test
    void aSegmentSurvivesASilenceOfItsEngine() {
        NetworkFixture.await(
                mFixture.mClient.hold(
                        HoldRequest.newBuilder()
                                .setHoldId("h1")
                                .setTokens(1_000)
                                .setExpiresInMs(10_000)
                                .build()));
        PrefillSegmentReply reply =
                NetworkFixture.await(
                        mFixture.mClient.prefillSegment(
                                PrefillSegmentRequest.newBuilder()
                                        .setHoldId("h1")
                                        .setAttemptId("a.1.s1")
                                        .setModel("m1")
                                        .setPrompt("q".repeat(400))
                                        .setPolicy(PolicyStamp.newBuilder().setWorkspace("w1"))
                                        .setDeadlineLeftMs(9_000)
                                        .build()));
        assertThat(reply.hasFailed()).isFalse();
        mFixture.faults(mEngine.port(), new JsonObject().put("silence_ms", 6_000));
        RunRequest.Builder request = AgentFixture.completion("a.1");
        request.getCompletionBuilder().setHoldId("h1").addSegments(reply.getSegment());
        assertThat(mFixture.run(request.build()).tokens()).hasSize(10);
    }

    @Test
    void aStreamThatEndsWithoutItsLastEventIsNotComplete() {
        mFixture.faults(mEngine.port(), new JsonObject().put("end_after_tokens", 3));
        RecordingSink sink = run("a.1", OUTPUT_TOKENS);
        assertThat(sink.tokens()).containsExactly(0L, 1L, 2L).inOrder();
        assertThat(sink.failure()).isEqualTo("upstream_failed/RAN");
    }

    @Test
    void anErrorEventFailsTheRunAndIsNoToken() {
        mFixture.faults(
                mEngine.port(),
                new JsonObject().put("end_after_tokens", 3).put("end_with_error", true));
        RecordingSink sink = run("a.1", OUTPUT_TOKENS);
        assertThat(sink.tokens()).containsExactly(0L, 1L, 2L).inOrder();
        assertThat(sink.failure()).isEqualTo("upstream_failed/RAN");
    }

    @Test
    void aResumedRunThatEndsWithAnErrorIsNotComplete() {
        mFixture.faults(mEngine.port(), new JsonObject().put("finish_with_error", true));
        RunRequest.Builder request = AgentFixture.completion("a.2");
        request.getCompletionBuilder().setResumeFrom(2).setGeneratedText("t0 t1 ");
        RecordingSink sink = mFixture.run(request.build());
        assertThat(sink.tokens()).isEmpty();
        assertThat(sink.failure()).isEqualTo("upstream_failed/UNKNOWN");
    }

    @Test
    void anErrorStatusDoesNotSayThatTheRequestDidNotRun() {
        mFixture.faults(mEngine.port(), new JsonObject().put("error_status", 500));
        RecordingSink sink = run("a.1", OUTPUT_TOKENS);
        assertThat(sink.failure()).isEqualTo("upstream_failed/UNKNOWN");
        assertThat(sink.tokens()).isEmpty();
    }

    private RecordingSink run(String attempt, int outputTokens) {
        RunRequest.Builder request = AgentFixture.completion(attempt);
        request.getCompletionBuilder().getCostBuilder().setMaxOutputTokens(outputTokens);
        return mFixture.run(request.build());
    }

    private int engineRuns() {
        return mFixture.read(mEngine.port(), "/v1/runs").getJsonArray("runs").size();
    }
}
