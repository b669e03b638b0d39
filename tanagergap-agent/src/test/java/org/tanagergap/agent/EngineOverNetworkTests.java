package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.Promise;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClientRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
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
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.standins.engine.EngineServer;
import org.tanagergap.standins.engine.EngineServerSettings;
import org.tanagergap.standins.engine.EngineSettings;

/** Guards against violations of the agent's protocols with entries and with the stand-in engine. */
class EngineOverNetworkTests {

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
    void aCompletionIsStreamedFromTheEngine() {
        RecordingSink sink = mFixture.run(AgentFixture.completion("a.1").build());
        assertThat(sink.tokens()).hasSize(10);
        assertThat(sink.last().getFinished().getFinishReason()).isEqualTo("length");
        assertThat(sink.last().getHint().getUpstreamReady()).isTrue();
        JsonObject status = mFixture.read(mFixture.mAgent.adminPort(), "/status");
        assertThat(status.getString("upstream")).isEqualTo("upstream-1");
    }

    @Test
    void aMessageAboveTheDefaultLimitOfGrpcIsAccepted() {
        RunRequest.Builder request = AgentFixture.completion("a.1");
        request.getCompletionBuilder().setPrompt("p".repeat(8 * 1024 * 1024));
        // The engine counts more tokens than its memory holds and refuses before running.
        assertThat(mFixture.run(request.build()).failure()).isEqualTo("malformed_request/NOT_RUN");
    }

    @Test
    void engineFaultsReportWhetherTheRequestRan() {
        mFixture.faults(mEngine.port(), new JsonObject().put("refuse", true));
        assertThat(run("a.1").failure()).isEqualTo("overloaded/NOT_RUN");
        mFixture.faults(mEngine.port(), new JsonObject().put("cut_after_tokens", 3));
        assertThat(run("a.2").failure()).isEqualTo("upstream_failed/RAN");
        mFixture.faults(mEngine.port(), new JsonObject().put("skipped", 1));
        assertThat(run("a.3").failure()).isEqualTo("upstream_failed/RAN");
        mFixture.faults(mEngine.port(), new JsonObject().put("crossed", 2).put("duplicated", 2));
        RecordingSink sink = run("a.4");
        assertThat(sink.tokens()).isEqualTo(List.of(0L, 1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L));
        assertThat(sink.last().hasFinished()).isTrue();
    }

    @Test
    void anEarlierRefusalThatTheEngineSendsAgainIsNotTakenForThatOfALaterRun() {
        mFixture.faults(mEngine.port(), new JsonObject().put("refuse", true));
        assertThat(run("a.1").failure()).isEqualTo("overloaded/NOT_RUN");
        mFixture.faults(mEngine.port(), new JsonObject().put("repeat_refusals", true));

        RecordingSink sink = run("a.2");

        assertThat(mFixture.read(mEngine.port(), "/counts").getLong("submitted")).isEqualTo(1);
        assertThat(sink.last().hasFailed() ? sink.failure() : "finished").isEqualTo("finished");
        assertThat(sink.tokens()).hasSize(10);
    }

    @Test
    void aRequestToAnUnresponsiveEngineEndsAtItsDeadline() {
        mFixture.faults(mEngine.port(), new JsonObject().put("silent", true));
        RunRequest request = AgentFixture.completion("a.1").setDeadlineLeftMs(300).build();
        assertThat(mFixture.run(request).failure()).isEqualTo("deadline_exceeded/UNKNOWN");
    }

    @Test
    void closingTheCallCancelsTheRun() {
        RunRequest.Builder request = AgentFixture.completion("a.1");
        request.getCompletionBuilder().getCostBuilder().setMaxOutputTokens(100_000);
        GrpcClientRequest<RunRequest, RunEvent> call =
                NetworkFixture.await(
                        mFixture.mGrpc.request(
                                SocketAddress.inetSocketAddress(
                                        mFixture.mAgent.port(), "127.0.0.1"),
                                UpstreamAgentGrpcClient.Run));
        call.send(request.build());
        mFixture.awaitTrue(() -> engineRuns() == 1);
        assertThat(mFixture.status().getReservedTokens()).isGreaterThan(0);
        call.cancel();
        mFixture.awaitTrue(() -> mFixture.status().getReservedTokens() == 0);
    }

    @Test
    void aBrokenConnectionCancelsTheRun() {
        RunRequest.Builder request = AgentFixture.completion("a.1");
        request.getCompletionBuilder().getCostBuilder().setMaxOutputTokens(100_000);
        GrpcClientRequest<RunRequest, RunEvent> call =
                NetworkFixture.await(
                        mFixture.mGrpc.request(
                                SocketAddress.inetSocketAddress(
                                        mFixture.mAgent.port(), "127.0.0.1"),
                                UpstreamAgentGrpcClient.Run));
        call.send(request.build());
        mFixture.awaitTrue(() -> engineRuns() == 1);
        call.connection().close();
        mFixture.awaitTrue(() -> engineRuns() == 0);
    }

    @Test
    void aSegmentIsPrefilledUsedAndReleasedWithItsReservation() {
        assertThat(
                        NetworkFixture.await(
                                        mFixture.mClient.hold(
                                                HoldRequest.newBuilder()
                                                        .setHoldId("h1")
                                                        .setTokens(1_000)
                                                        .setExpiresInMs(10_000)
                                                        .build()))
                                .getHeld())
                .isTrue();
        PrefillSegmentReply reply =
                NetworkFixture.await(
                        mFixture.mClient.prefillSegment(
                                PrefillSegmentRequest.newBuilder()
                                        .setHoldId("h1")
                                        .setAttemptId("a.1.s1")
                                        .setModel("m1")
                                        .setPrompt("q".repeat(400))
                                        .setPolicy(PolicyStamp.newBuilder().setWorkspace("w1"))
                                        .setDeadlineLeftMs(5_000)
                                        .build()));
        assertThat(reply.hasFailed()).isFalse();
        assertThat(engineRuns()).isEqualTo(1);
        RunRequest.Builder request = AgentFixture.completion("a.1");
        request.getCompletionBuilder().setHoldId("h1").addSegments(reply.getSegment());
        assertThat(mFixture.run(request.build()).tokens()).hasSize(10);
        // The end of the completion releases the reservation and the segment.
        mFixture.awaitTrue(() -> engineRuns() == 0);
        RunRequest.Builder again = request.setAttemptId("a.2");
        assertThat(mFixture.run(again.build()).failure()).isEqualTo("unavailable/NOT_RUN");
    }

    @Test
    void aStoppingAgentFinishesItsWorkAndThenClosesItsPort() {
        RunRequest.Builder request = AgentFixture.completion("a.1");
        request.getCompletionBuilder().getCostBuilder().setMaxOutputTokens(40);
        RecordingSink sink = new RecordingSink();
        Promise<Void> ended = Promise.promise();
        mFixture.mClient
                .run(request.build())
                .onSuccess(
                        stream -> {
                            stream.handler(sink::send);
                            stream.exceptionHandler(ended::tryFail);
                            stream.endHandler(ignored -> ended.tryComplete());
                        });
        mFixture.awaitTrue(() -> engineRuns() == 1);
        CompletableFuture<Void> stopped = mFixture.mAgent.stop();
        assertThat(run("b.1").failure()).isEqualTo("unavailable/NOT_RUN");
        NetworkFixture.await(ended.future());
        assertThat(sink.tokens()).hasSize(40);
        assertThat(sink.last().getHint().getDraining()).isTrue();
        NetworkFixture.await(Futures.toVertx(stopped));
        assertThrows(AssertionError.class, mFixture::status);
        mFixture.startAgent(UpstreamKind.MODEL, mEngine.port(), Optional.empty());
    }

    private RecordingSink run(String attempt) {
        return mFixture.run(AgentFixture.completion(attempt).build());
    }

    private int engineRuns() {
        return mFixture.read(mEngine.port(), "/v1/runs").getJsonArray("runs").size();
    }
}
