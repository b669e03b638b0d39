package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.json.JsonObject;
import java.io.InputStream;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.Execution;
import org.tanagergap.protocol.v1.ResponseHead;
import org.tanagergap.protocol.v1.RunRequest;

/** Guards against lost, repeated or wrong output when agents fail or callers disconnect. */
final class StreamFailureTests {

    private static final String WHOLE = "t0 t1 t2 t3 t4 t5 ";

    private final EntryHarness mHarness = new EntryHarness();

    /** Runs of all agents so far. */
    private final AtomicInteger mRuns = new AtomicInteger();

    @BeforeEach
    void start() {
        for (String name :
                new String[] {"runner-1", "runner-2", "runner-3", "orders-1", "orders-2"}) {
            mHarness.agent(name);
        }
        mHarness.start();
    }

    @AfterEach
    void close() {
        mHarness.close();
    }

    /** Scripts the first run; later runs complete six tokens. */
    private void firstRun(java.util.function.BiConsumer<RunRequest, FakeAgent.Stream> script) {
        for (FakeAgent agent : mHarness.mAgents.values()) {
            agent.mScript =
                    (request, stream) -> {
                        if (mRuns.incrementAndGet() == 1) {
                            script.accept(request, stream);
                        } else {
                            stream.complete(6);
                        }
                    };
        }
    }

    private void everyRun(java.util.function.BiConsumer<RunRequest, FakeAgent.Stream> script) {
        for (FakeAgent agent : mHarness.mAgents.values()) {
            agent.mScript =
                    (request, stream) -> {
                        mRuns.incrementAndGet();
                        script.accept(request, stream);
                    };
        }
    }

    private String streamedText() {
        HttpResponse<String> response = mHarness.send(mHarness.completion(true));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
        return text(response.body());
    }

    private static String text(String events) {
        Matcher matcher = Pattern.compile("\"text\":\"([^\"]*)\"").matcher(events);
        StringBuilder text = new StringBuilder();
        while (matcher.find()) {
            text.append(matcher.group(1));
        }
        return text.toString();
    }

    private static JsonObject error(String json) {
        return new JsonObject(json).getJsonObject("error");
    }

    @Nested
    final class Events {
        @Test
        void eventOfAnotherAttemptIsDropped() {
            firstRun(
                    (request, stream) -> {
                        stream.tokens(0, 2);
                        stream.send(stream.token(2).event().setAttemptId("other"));
                        stream.send(
                                stream.event()
                                        .setAttemptId("other")
                                        .setToken(
                                                org.tanagergap.protocol.v1.Token.newBuilder()
                                                        .setIndex(3)
                                                        .setText("wrong")));
                        stream.tokens(3, 6).finish(6);
                    });
            assertThat(streamedText()).isEqualTo(WHOLE);
            assertThat(mHarness.counter("dropped_events{reason=crossed}")).isEqualTo(2);
            assertThat(mRuns.get()).isEqualTo(1);
        }

        @Test
        void duplicatedTokenIsDropped() {
            firstRun((request, stream) -> stream.tokens(0, 3).tokens(1, 6).finish(6));
            assertThat(streamedText()).isEqualTo(WHOLE);
            assertThat(mHarness.counter("dropped_events{reason=duplicate}")).isEqualTo(2);
        }

        @Test
        void tokenAfterTheEndIsDropped() {
            firstRun(
                    (request, stream) -> {
                        stream.tokens(0, 6);
                        stream.send(
                                stream.event()
                                        .setFinished(
                                                org.tanagergap.protocol.v1.Finished.newBuilder()
                                                        .setOutputTokens(6)));
                        stream.token(6).finish(7);
                    });
            assertThat(streamedText()).isEqualTo(WHOLE);
            EntryHarness.await(() -> mHarness.counter("dropped_events{reason=late}") == 2);
        }

        @Test
        void missingTokenIsFetchedFromAnotherAgent() {
            firstRun((request, stream) -> stream.tokens(0, 2).token(3).token(4));
            assertThat(streamedText()).isEqualTo(WHOLE);
            assertThat(mHarness.counter("dropped_events{reason=gap}")).isEqualTo(1);
            assertThat(mHarness.counter("resumes")).isEqualTo(1);
        }

        @Test
        void missingLastTokenIsFetchedFromAnotherAgent() {
            firstRun((request, stream) -> stream.tokens(0, 5).finish(6));
            assertThat(streamedText()).isEqualTo(WHOLE);
        }
    }

    @Nested
    final class Agents {
        @Test
        void streamOfFailedAgentIsResumedAtTheNextToken() {
            firstRun(
                    (request, stream) -> {
                        stream.tokens(0, 3);
                        mHarness.mVertx.setTimer(50, ignored -> stream.breakCall());
                    });
            assertThat(streamedText()).isEqualTo(WHOLE);
            List<RunRequest> runs = new ArrayList<>();
            mHarness.mAgents.values().forEach(agent -> agent.mRuns.drainTo(runs));
            assertThat(runs.stream().map(r -> r.getCompletion().getResumeFrom()).toList())
                    .containsExactly(0L, 3L);
            assertThat(runs.stream().map(r -> r.getCompletion().getGeneratedText()).toList())
                    .containsExactly("", "t0 t1 t2 ");
        }

        @Test
        void idleStreamIsResumedOnAnotherAgent() {
            firstRun((request, stream) -> stream.tokens(0, 2));
            assertThat(streamedText()).isEqualTo(WHOLE);
            assertThat(mHarness.counter("stalls")).isEqualTo(1);
        }

        @Test
        void queueWaitOnActiveAgentIsNotAStall() {
            firstRun(
                    (request, stream) -> {
                        stream.tokens(0, 0);
                        mHarness.mVertx.setTimer(2_500, ignored -> stream.complete(6));
                    });
            assertThat(streamedText()).isEqualTo(WHOLE);
            assertThat(mRuns.get()).isEqualTo(1);
        }

        @Test
        void refusalBeforeExecutionIsRetriedAndTheLastOneReported() {
            everyRun((request, stream) -> stream.fail("overloaded", Execution.EXECUTION_NOT_RUN));
            HttpResponse<String> response = mHarness.send(mHarness.completion(true));
            assertThat(response.statusCode()).isEqualTo(429);
            assertThat(error(response.body()).getString("execution")).isEqualTo("not_run");
            assertThat(mRuns.get()).isEqualTo(3);
        }

        @Test
        void brokenStreamWithoutRetriesEndsWithErrorEvent() {
            everyRun(
                    (request, stream) -> {
                        long from = request.getCompletion().getResumeFrom();
                        stream.tokens(from, from + 1)
                                .fail("upstream_failed", Execution.EXECUTION_RAN);
                    });
            String body = mHarness.send(mHarness.completion(true)).body();
            assertThat(text(body)).isEqualTo("t0 t1 t2 ");
            assertThat(body).doesNotContain("[DONE]");
            String event = body.substring(body.indexOf("event: error\ndata: ") + 19);
            assertThat(error(event).getString("execution")).isEqualTo("ran");
        }

        @Test
        void deadlineEndsRequestWithoutEvents() {
            everyRun((request, stream) -> {});
            HttpResponse<String> response =
                    mHarness.send(
                            mHarness.request("/v1/completions")
                                    .header("Tanagergap-Deadline-Ms", "300")
                                    .POST(
                                            BodyPublishers.ofString(
                                                    "{\"model\":\"lid-7b\",\"prompt\":\"x\"}"))
                                    .build());
            assertThat(response.statusCode()).isEqualTo(504);
            assertThat(error(response.body()).getString("execution")).isEqualTo("unknown");
        }
    }

    @Nested
    final class Orders {
        @Test
        void orderOfUnknownOutcomeIsNotRetried() {
            everyRun((request, stream) -> stream.breakCall());
            HttpResponse<String> response = order();
            assertThat(response.statusCode()).isEqualTo(502);
            assertThat(error(response.body()).getString("execution")).isEqualTo("unknown");
            assertThat(mRuns.get()).isEqualTo(1);
        }

        @Test
        void orderThatDidNotRunIsRetriedOnAnotherAgent() {
            for (FakeAgent agent : mHarness.mAgents.values()) {
                agent.mScript =
                        (request, stream) -> {
                            if (mRuns.incrementAndGet() == 1) {
                                stream.fail("unavailable", Execution.EXECUTION_NOT_RUN);
                                return;
                            }
                            stream.send(
                                    stream.event()
                                            .setHead(ResponseHead.newBuilder().setStatus(201)));
                            stream.send(stream.event().setBody(request.getPlain().getBody()));
                            stream.finish(0);
                        };
            }
            HttpResponse<String> response = order();
            assertThat(response.statusCode()).isEqualTo(201);
            assertThat(response.body()).isEqualTo("two pallets");
        }

        private HttpResponse<String> order() {
            return mHarness.send(
                    mHarness.request("/services/orders/place")
                            .header("Idempotency-Key", "k1")
                            .POST(BodyPublishers.ofString("two pallets"))
                            .build());
        }
    }

    @Test
    void attemptOfDisconnectedCallerIsCancelled() throws Exception {
        everyRun((request, stream) -> stream.tokens(0, 2));
        HttpResponse<InputStream> response =
                mHarness.mClient.send(mHarness.completion(true), BodyHandlers.ofInputStream());
        response.body().read();
        response.body().close();
        EntryHarness.await(
                () -> mHarness.counter("requests{rank=urgent,code=caller_disconnected}") == 1);
        EntryHarness.await(
                () -> mHarness.mAgents.values().stream().anyMatch(a -> !a.mCancelled.isEmpty()));
    }

    /** Guards against cancelling an order with its caller: a repeated call replays its outcome. */
    @Test
    void orderOfDisconnectedCallerIsNotCancelled() throws Exception {
        CompletableFuture<FakeAgent.Stream> run = new CompletableFuture<>();
        everyRun((request, stream) -> run.complete(stream));
        try (java.net.Socket socket =
                new java.net.Socket("127.0.0.1", mHarness.mEntry.callerPort())) {
            String head =
                    "POST /services/orders/place HTTP/1.1\r\nHost: entry\r\nIdempotency-Key: k\r\n"
                            + "Content-Length: 0\r\nAuthorization: Bearer "
                            + EntryHarness.KEY
                            + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(java.nio.charset.StandardCharsets.UTF_8));
            run.get(5, TimeUnit.SECONDS);
        }
        EntryHarness.pause(300);
        assertThat(mHarness.mAgents.values().stream().allMatch(a -> a.mCancelled.isEmpty()))
                .isTrue();
        run.get().finish(0);
        EntryHarness.await(
                () -> mHarness.counter("requests{rank=urgent,code=caller_disconnected}") == 1);
    }

    /** Guards against buffering the whole response of a caller that does not read. */
    @Test
    void slowCallerAppliesBackPressureToTheAgent() throws Exception {
        CompletableFuture<AtomicLong> sent = new CompletableFuture<>();
        everyRun((request, stream) -> sent.complete(stream.sendUntilBackPressure(mHarness.mVertx)));
        HttpResponse<InputStream> response =
                mHarness.mClient.send(mHarness.completion(true), BodyHandlers.ofInputStream());
        EntryHarness.pause(1_000);
        long before = EntryHarness.countWhenItStandsStill(sent.get());
        assertThat(before).isLessThan(3_000);
        response.body().readNBytes(20_000_000);
        EntryHarness.await(() -> sent.join().get() > before);
        response.body().close();
    }

    @Test
    void shutdownFinishesStreamsInFlight() throws Exception {
        firstRun(
                (request, stream) -> {
                    stream.tokens(0, 2);
                    mHarness.mVertx.setTimer(500, ignored -> stream.tokens(2, 6).finish(6));
                });
        CompletableFuture<HttpResponse<String>> response =
                mHarness.mClient.sendAsync(mHarness.completion(true), BodyHandlers.ofString());
        EntryHarness.await(() -> mRuns.get() == 1);

        CompletableFuture<Void> stopped = mHarness.mEntry.stop();

        assertThat(mHarness.mEntry.isReady()).isFalse();
        HttpResponse<String> refused = mHarness.send(mHarness.completion(true));
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(error(refused.body()).getString("execution")).isEqualTo("not_run");
        assertThat(stopped.isDone()).isFalse();
        assertThat(text(response.get(5, TimeUnit.SECONDS).body())).isEqualTo(WHOLE);
        stopped.get(5, TimeUnit.SECONDS);
    }
}
