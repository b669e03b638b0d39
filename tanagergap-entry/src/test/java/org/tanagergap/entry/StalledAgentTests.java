package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.Execution;
import org.tanagergap.protocol.v1.ResponseHead;
import org.tanagergap.protocol.v1.RunRequest;

/** Guards against requests lost because their agent sends nothing for a while and then goes on. */
final class StalledAgentTests {

    private static final String WHOLE = "t0 t1 t2 t3 t4 t5 ";

    /** Above the idle timeout of a stream that has begun. */
    private static final long STALL_MILLIS = 3_000;

    /** Above the activity window and the idle timeout of an attempt without a response. */
    private static final long STALL_OF_ALL_CALLS_MILLIS = 7_500;

    private final EntryHarness mHarness = new EntryHarness();

    /** Runs of all agents so far. */
    private final AtomicInteger mRuns = new AtomicInteger();

    @BeforeEach
    void start() {
        for (String name : new String[] {"runner-1", "runner-2", "orders-1", "orders-2"}) {
            mHarness.agent(name);
        }
        mHarness.start();
    }

    @AfterEach
    void close() {
        mHarness.close();
    }

    private void runs(
            BiConsumer<RunRequest, FakeAgent.Stream> first,
            BiConsumer<RunRequest, FakeAgent.Stream> later) {
        for (FakeAgent agent : mHarness.mAgents.values()) {
            agent.mScript =
                    (request, stream) ->
                            (mRuns.incrementAndGet() == 1 ? first : later).accept(request, stream);
        }
    }

    private void after(long millis, Runnable task) {
        mHarness.mVertx.setTimer(millis, ignored -> task.run());
    }

    private void stallInTheStream(RunRequest request, FakeAgent.Stream stream) {
        stream.tokens(0, 2);
        after(STALL_MILLIS, () -> stream.tokens(2, 6).finish(6));
    }

    private static String text(HttpResponse<String> response) {
        Matcher matcher = Pattern.compile("\"text\":\"([^\"]*)\"").matcher(response.body());
        StringBuilder text = new StringBuilder();
        while (matcher.find()) {
            text.append(matcher.group(1));
        }
        return text.toString();
    }

    @Nested
    final class StreamOfAnAgentThatGoesOn {
        private void assertWholeWhenLaterRuns(BiConsumer<RunRequest, FakeAgent.Stream> later) {
            runs(StalledAgentTests.this::stallInTheStream, later);
            HttpResponse<String> response = mHarness.send(mHarness.completion(true));
            assertThat(text(response)).isEqualTo(WHOLE);
            assertThat(response.body()).endsWith("data: [DONE]\n\n");
        }

        @Test
        void isWholeWhenTheOtherAgentRefuses() {
            assertWholeWhenLaterRuns(
                    (request, stream) -> stream.fail("overloaded", Execution.EXECUTION_NOT_RUN));
        }

        @Test
        void isWholeWhenTheOtherAgentBreaksTheCall() {
            assertWholeWhenLaterRuns((request, stream) -> stream.breakCall());
        }

        @Test
        void isWholeWhenTheEngineOfTheOtherAgentFails() {
            assertWholeWhenLaterRuns(
                    (request, stream) ->
                            stream.fail("upstream_failed", Execution.EXECUTION_UNKNOWN));
        }

        @Test
        void isWholeWhenTheOtherAgentIsSilentForGood() {
            assertWholeWhenLaterRuns((request, stream) -> {});
        }

        @Test
        void isWholeWhenTheOtherAgentOnlyAdmitsTheAttempt() {
            assertWholeWhenLaterRuns((request, stream) -> stream.tokens(2, 2));
            assertThat(mRuns.get()).isEqualTo(2);
        }

        @Test
        void hasNoTokenTwiceWhenBothAgentsAnswer() {
            assertWholeWhenLaterRuns(
                    (request, stream) -> {
                        stream.tokens(2, 4);
                        after(1_500, () -> stream.tokens(4, 6).finish(6));
                    });
            assertThat(mRuns.get()).isEqualTo(2);
        }

        @Test
        void endsOtherAttemptsSoThatTheyHoldNoMemory() {
            assertWholeWhenLaterRuns((request, stream) -> stream.tokens(2, 2));
            EntryHarness.await(
                    () ->
                            mHarness.mAgents.values().stream()
                                    .anyMatch(agent -> !agent.mCancelled.isEmpty()));
        }
    }

    @Test
    void streamOfASilentAgentContinuesElsewhereWithinTheIdleTimeout() {
        runs((request, stream) -> stream.tokens(0, 2), (request, stream) -> stream.complete(6));
        long start = System.nanoTime();
        assertThat(text(mHarness.send(mHarness.completion(true)))).isEqualTo(WHOLE);
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(3));
    }

    @Test
    void responseNamesTheAgentThatAnsweredAndNotTheOneThatOnlyAdmitted() {
        runs(
                (request, stream) -> {
                    admit(stream, "first");
                    silenceCallsOfTheAgentOf(request);
                    after(
                            STALL_OF_ALL_CALLS_MILLIS,
                            () -> stream.token(0).token(1).token(2).finish(3));
                },
                (request, stream) -> admit(stream, "second"));
        HttpResponse<String> response = mHarness.send(mHarness.completion(true));
        assertThat(text(response)).isEqualTo("t0 t1 t2 ");
        assertThat(mRuns.get()).isEqualTo(2);
        assertThat(response.headers().firstValue("Tanagergap-Upstream")).hasValue("first");
    }

    private static void admit(FakeAgent.Stream stream, String upstream) {
        stream.send(stream.event().setAdmitted(Admitted.newBuilder().setUpstream(upstream)));
    }

    /** The agent of the run responds to no other call, as if all its connections were silent. */
    private void silenceCallsOfTheAgentOf(RunRequest request) {
        mHarness.mAgents.values().stream()
                .filter(agent -> agent.mRuns.contains(request))
                .forEach(agent -> agent.mRepliesToExchange = false);
    }

    private static void respond(FakeAgent.Stream stream, int status) {
        stream.send(stream.event().setHead(ResponseHead.newBuilder().setStatus(status)));
        stream.finish(0);
    }

    @Test
    void idempotentCallIsAnsweredWhenTheOtherAgentRefuses() {
        runs(
                (request, stream) -> {
                    silenceCallsOfTheAgentOf(request);
                    after(STALL_OF_ALL_CALLS_MILLIS, () -> respond(stream, 200));
                },
                (request, stream) -> stream.fail("unavailable", Execution.EXECUTION_NOT_RUN));
        HttpResponse<String> response =
                mHarness.send(mHarness.request("/services/orders/stock").GET().build());
        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(mRuns.get()).isEqualTo(2);
    }

    @Test
    void callThatMayNotBeRepeatedIsNeitherEndedNorRepeated() {
        runs(
                (request, stream) -> {
                    silenceCallsOfTheAgentOf(request);
                    after(STALL_OF_ALL_CALLS_MILLIS, () -> respond(stream, 201));
                },
                (request, stream) -> respond(stream, 500));
        HttpResponse<String> response =
                mHarness.send(
                        mHarness.request("/services/orders/place")
                                .header("Idempotency-Key", "k1")
                                .POST(BodyPublishers.ofString("two pallets"))
                                .build());
        assertThat(response.statusCode()).isEqualTo(201);
        assertThat(mRuns.get()).isEqualTo(1);
    }

    /** Guards against the loss of calls to an agent that accepts connections and is silent. */
    @Test
    void callsThatMayNotBeRepeatedRunOnceWhenOneAgentOnlyAcceptsConnections() throws Exception {
        runs((request, stream) -> respond(stream, 201), (request, stream) -> respond(stream, 201));
        FakeAgent silent = mHarness.mAgents.get("orders-1");
        int port = Integer.parseInt(silent.address().split(":")[1]);
        silent.stop();
        mHarness.mVertx.createNetServer().connectHandler(s -> {}).listen(port, "127.0.0.1").await();
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            responses.add(
                    mHarness.mClient.sendAsync(
                            mHarness.request("/services/orders/place")
                                    .header("Idempotency-Key", "k" + i)
                                    .header("Tanagergap-Deadline-Ms", "6000")
                                    .POST(BodyPublishers.ofString("two pallets"))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString()));
        }
        int answered = 0;
        for (CompletableFuture<HttpResponse<String>> future : responses) {
            HttpResponse<String> response = future.get(30, TimeUnit.SECONDS);
            if (response.statusCode() == 201) {
                answered++;
            } else {
                // The first call on a connection is written before the agent has responded at all.
                assertThat(response.body()).contains("\"execution\":\"unknown\"");
            }
        }
        assertThat(mRuns.get()).isEqualTo(answered);
        assertThat(answered).isAtLeast(7);
        assertThat(mHarness.counter("retries")).isAtLeast(1);
    }

    @Test
    void noOtherAttemptStartsWithoutRetryBudget() {
        while (mHarness.mRetryBudget.trySpend()) {}
        runs(this::stallInTheStream, (request, stream) -> stream.complete(6));
        assertThat(text(mHarness.send(mHarness.completion(true)))).isEqualTo(WHOLE);
        assertThat(mRuns.get()).isEqualTo(1);
    }

    @Test
    void requestOfAgentsThatAreSilentForGoodEndsAtItsDeadline() {
        runs((request, stream) -> stream.tokens(0, 1), (request, stream) -> {});
        HttpResponse<String> response =
                mHarness.send(
                        mHarness.request("/v1/completions")
                                .header("Tanagergap-Deadline-Ms", "4000")
                                .POST(
                                        BodyPublishers.ofString(
                                                "{\"model\":\"lid-7b\",\"prompt\":\"x\"}"))
                                .build());
        assertThat(response.statusCode()).isEqualTo(504);
        JsonObject error = new JsonObject(response.body()).getJsonObject("error");
        assertThat(error.getString("execution")).isEqualTo("ran");
        EntryHarness.await(
                () ->
                        mHarness.mAgents.values().stream()
                                        .filter(agent -> !agent.mCancelled.isEmpty())
                                        .count()
                                == 2);
    }
}
