package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.Promise;
import io.vertx.core.json.JsonObject;
import io.vertx.core.net.SocketAddress;
import io.vertx.grpc.client.GrpcClientRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.CancelRequest;
import org.tanagergap.protocol.v1.RunEvent;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.UpstreamAgentGrpcClient;
import org.tanagergap.standins.engine.EngineServer;
import org.tanagergap.standins.engine.EngineServerSettings;
import org.tanagergap.standins.engine.EngineSettings;

/** Guards against the limits that HTTP/2 servers set by default on streams of one connection. */
class ManyCallsTests {

    private static final int CALLS = 300;

    private final NetworkFixture mFixture = new NetworkFixture();
    private EngineServer mEngine;

    @BeforeEach
    void startAgent() {
        mEngine =
                new EngineServer(
                        mFixture.mVertx,
                        mFixture.mClock,
                        NetworkFixture.ANY_PORT,
                        EngineSettings.of("m1", 4_000_000).withPrefillTokensPerSecond(10_000_000),
                        new EngineServerSettings(
                                "m1", Duration.ofMillis(50), Duration.ofMillis(10), 0, false));
        mFixture.start(mEngine);
        mFixture.startAgent(UpstreamKind.MODEL, mEngine.port(), Optional.empty());
    }

    @AfterEach
    void close() {
        mFixture.close();
    }

    /**
     * Guards against calls that wait for a free stream in the entry, where they are not ordered by
     * rank, and against simultaneous cancellations that break other streams of the entry's
     * connection.
     */
    @Test
    void manyCallsReachTheAgentAndAreCancelledTogether() {
        RecordingSink survivor = new RecordingSink();
        Promise<Void> ended = Promise.promise();
        mFixture.mClient
                .run(completion("survivor.1", 60))
                .onSuccess(
                        stream -> {
                            stream.handler(survivor::send);
                            stream.exceptionHandler(ended::tryFail);
                            stream.endHandler(ignored -> ended.tryComplete());
                        });
        startCalls();
        mFixture.awaitTrue(() -> admittedAttempts() >= CALLS);

        for (int i = 0; i < CALLS; i++) {
            mFixture.mClient.cancel(
                    CancelRequest.newBuilder().setAttemptId("c" + i + ".1").build());
        }

        NetworkFixture.await(ended.future());
        assertThat(survivor.tokens()).hasSize(60);
        mFixture.awaitTrue(() -> mFixture.status().getReservedTokens() == 0);
    }

    /** By default, a server treats 200 resets in 30 s as an attack and closes the connection. */
    @Test
    void manyCallsAreResetWithoutClosingTheConnection() {
        // The engine sends no events, because an event after a reset makes the client reset the
        // stream again.
        mFixture.faults(mEngine.port(), new JsonObject().put("silent", true));
        List<GrpcClientRequest<RunRequest, RunEvent>> calls = startCalls();
        mFixture.awaitTrue(() -> admittedAttempts() >= CALLS);
        AtomicBoolean closed = new AtomicBoolean();
        calls.get(0).connection().closeHandler(ignored -> closed.set(true));

        calls.forEach(GrpcClientRequest::cancel);

        mFixture.awaitTrue(() -> mFixture.status().getReservedTokens() == 0);
        assertThat(closed.get()).isFalse();
    }

    private List<GrpcClientRequest<RunRequest, RunEvent>> startCalls() {
        List<GrpcClientRequest<RunRequest, RunEvent>> calls = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            GrpcClientRequest<RunRequest, RunEvent> call =
                    NetworkFixture.await(
                            mFixture.mGrpc.request(
                                    SocketAddress.inetSocketAddress(
                                            mFixture.mAgent.port(), "127.0.0.1"),
                                    UpstreamAgentGrpcClient.Run));
            call.end(completion("c" + i + ".1", 1_000));
            call.response().onSuccess(stream -> stream.handler(ignored -> {}));
            calls.add(call);
        }
        return calls;
    }

    private int admittedAttempts() {
        int queued =
                mFixture.status().getHint().getRanksList().stream()
                        .mapToInt(rank -> rank.getQueued())
                        .sum();
        return mFixture.status().getRunning() + queued;
    }

    private static RunRequest completion(String attempt, int outputTokens) {
        RunRequest.Builder request = AgentFixture.completion(attempt);
        request.setDeadlineLeftMs(60_000);
        request.getCompletionBuilder().getCostBuilder().setMaxOutputTokens(outputTokens);
        return request.build();
    }
}
