package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.ExchangeRequest;

/** Guards against new work on a draining agent and against running work that is interrupted. */
class DrainTests {

    private final FakeEngine mEngine = new FakeEngine();
    private final AgentFixture mFixture = AgentFixture.ofEngine(mEngine);
    private final RecordingSink mRunning = new RecordingSink();

    @AfterEach
    void noMemoryStaysReserved() {
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(0);
    }

    @Test
    void runningWorkFinishesAndNewWorkIsRefused() {
        run("a.1", mRunning);
        mEngine.token("a.1", 0);
        CompletableFuture<Void> stopped = mFixture.mAgent.stop();
        RecordingSink refused = new RecordingSink();
        run("b.1", refused);
        assertThat(refused.failure()).isEqualTo("unavailable/NOT_RUN");
        assertThat(refused.last().getHint().getDraining()).isTrue();
        assertThat(
                        mFixture.mAgent
                                .rpcHandler()
                                .exchange(ExchangeRequest.getDefaultInstance())
                                .result()
                                .getHint()
                                .getDraining())
                .isTrue();
        assertThat(stopped.isDone()).isFalse();
        mEngine.finish("a.1", 1);
        assertThat(mRunning.last().getFinished().getOutputTokens()).isEqualTo(1);
        assertThat(mRunning.last().getHint().getDraining()).isTrue();
        assertThat(stopped.isDone()).isTrue();
    }

    @Test
    void workThatOutlastsTheDrainTimeoutIsCancelled() {
        run("a.1", mRunning);
        CompletableFuture<Void> stopped = mFixture.mAgent.stop();
        for (int second = 0; second < 30; second += 5) {
            mFixture.advance(5_000);
        }
        assertThat(mRunning.failure()).isNotEmpty();
        assertThat(mEngine.mCancelledRuns).containsExactly("a.1");
        mFixture.advance(2_000);
        assertThat(stopped.isDone()).isTrue();
    }

    @Test
    void anIdleAgentStopsAtOnce() {
        assertThat(mFixture.mAgent.stop().isDone()).isTrue();
    }

    private void run(String attempt, RecordingSink sink) {
        mFixture.mAgent.rpcHandler().run(AgentFixture.completion(attempt).build(), sink);
    }
}
