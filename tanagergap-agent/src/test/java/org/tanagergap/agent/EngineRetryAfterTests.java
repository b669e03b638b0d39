package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;

/** Guards an overloaded engine against requests before the time that its refusal names. */
final class EngineRetryAfterTests {

    private final FakeEngine mEngine = new FakeEngine();
    private final AgentFixture mFixture = AgentFixture.ofEngine(mEngine);
    private final RecordingSink mFirst = new RecordingSink();
    private final RecordingSink mSecond = new RecordingSink();

    @AfterEach
    void noMemoryStaysReserved() {
        mFixture.mAgent.stop();
        mFixture.advance(40_000);
        assertThat(mFixture.mScheduler.reservedTokens()).isEqualTo(0);
    }

    private void run(String attempt, long deadlineMillis, RecordingSink sink) {
        mFixture.mAgent
                .rpcHandler()
                .run(
                        AgentFixture.completion(attempt).setDeadlineLeftMs(deadlineMillis).build(),
                        sink);
    }

    private void refuse(String attempt, Duration retryAfter) {
        mEngine.mStreams
                .get(attempt)
                .fail(
                        RequestFailure.notRun(FailureCode.OVERLOADED, "busy")
                                .withRetryAfter(retryAfter));
    }

    @Test
    void noRequestIsSentBeforeTheEngineTakesRequestsAgain() {
        run("a.1", 60_000, mFirst);
        refuse("a.1", Duration.ofSeconds(2));
        run("b.1", 60_000, mSecond);

        mFixture.advance(1900);
        assertThat(mEngine.mCompletions).hasSize(1);
        mFixture.advance(200);
        assertThat(mEngine.mCompletions).hasSize(2);
        assertThat(mFirst.failure()).isEqualTo("overloaded/NOT_RUN");
    }

    @Test
    void aRequestWhoseDeadlineIsEarlierIsRefusedAtOnceWithTheTime() {
        run("a.1", 60_000, mFirst);
        refuse("a.1", Duration.ofSeconds(2));

        run("b.1", 1_500, mSecond);

        assertThat(mSecond.failure()).isEqualTo("overloaded/NOT_RUN");
        assertThat(mSecond.last().getFailed().getRetryAfterMs()).isEqualTo(2000);
    }

    /** A time of hours, for example because of a wrong unit, would stop the agent. */
    @Test
    void theTimeIsBounded() {
        run("a.1", 60_000, mFirst);
        refuse("a.1", Duration.ofHours(1));
        run("b.1", 60_000, mSecond);

        mFixture.advance(10_100);
        assertThat(mEngine.mCompletions).hasSize(2);
    }
}
