package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

/** Guards against lost requests when programs receive SIGTERM while they process requests. */
// The tests share one running system, so their order is fixed.
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
@ExtendWith(SharedSystemExtension.class)
@Timeout(60)
class ShutdownTests {

    private static final int OUTPUT_TOKENS = 350;
    private static final String PROMPT = "shutdown under load ".repeat(20);

    private final RunningSystem mSystem;

    private record RunningStream(String prompt, CompletableFuture<HttpResponse<String>> response) {}

    ShutdownTests(RunningSystem system) {
        mSystem = system;
    }

    @Test
    @Order(2)
    void aLeavingAgentFinishesItsStreamsAndGetsNoNewWorkAfterThreeSeconds() throws Exception {
        List<RunningStream> streams = startStreams(2, 8);
        Waiting.until("engine-b runs", Duration.ofSeconds(10), () -> reachesEngineB(streams));
        Map<Long, Integer> statuses = new ConcurrentHashMap<>();

        mSystem.process("agent-b").requestTermination();

        long start = System.nanoTime();
        long submittedAfter3Seconds = -1;
        long request = 0;
        while (System.nanoTime() - start < Duration.ofSeconds(5).toNanos()) {
            if (submittedAfter3Seconds < 0
                    && System.nanoTime() - start > Duration.ofSeconds(3).toNanos()) {
                submittedAfter3Seconds = mSystem.submittedRequests("b");
            }
            long number = request++;
            mSystem.sendAsync(mSystem.completion(2, PROMPT + number, 1))
                    .thenAccept(response -> statuses.put(number, response.statusCode()));
            TimeUnit.MILLISECONDS.sleep(20);
        }

        assertThat(mSystem.submittedRequests("b")).isEqualTo(submittedAfter3Seconds);
        assertComplete(streams);
        assertThat(mSystem.process("agent-b").waitFor(20)).hasValue(0);
        long sentRequests = request;
        Waiting.until("all ended", Duration.ofSeconds(10), () -> statuses.size() == sentRequests);
        assertThat(statuses.values()).doesNotContain(502);
        assertThat(statuses.values().stream().filter(s -> s != 200).toList()).isEmpty();
    }

    @Test
    @Order(3)
    void aDrainingEntryFinishesItsStreams() throws Exception {
        List<RunningStream> streams = startStreams(1, 8);
        TimeUnit.MILLISECONDS.sleep(500);

        mSystem.process("entry-1").requestTermination();

        assertComplete(streams);
        assertThat(mSystem.process("entry-1").waitFor(20)).hasValue(0);
    }

    @Test
    @Order(1)
    void aDrainingOrderAgentRespondsToTheOrdersThatItHasSent() throws Exception {
        Waiting.until(
                "the order agent is reached",
                Duration.ofSeconds(15),
                () -> mSystem.send(mSystem.stock(1)).statusCode() == 200);
        mSystem.setFaults("orders", "{\"delay_ms\":1500}");
        List<CompletableFuture<HttpResponse<String>>> orders = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            orders.add(mSystem.sendAsync(mSystem.order(1, "leaving-" + i, "{\"lids\":4}")));
        }
        Waiting.until(
                "the orders are placed",
                Duration.ofSeconds(5),
                () -> mSystem.read("orders", "/counts").split("leaving-").length == 7);

        mSystem.process("agent-orders").requestTermination();

        for (CompletableFuture<HttpResponse<String>> order : orders) {
            assertThat(order.get(20, TimeUnit.SECONDS).statusCode()).isEqualTo(201);
        }
        assertThat(mSystem.process("agent-orders").waitFor(20)).hasValue(0);
    }

    /**
     * Starts a stream with another prompt unless engine-b runs one. All streams with one prompt may
     * go to one engine, because the router prefers the agent that holds the prompt.
     */
    private boolean reachesEngineB(List<RunningStream> streams) throws Exception {
        boolean reached = mSystem.engineMemoryTokens("b") > 0;
        if (!reached) {
            streams.add(startStream(2, "stream " + streams.size() + " " + PROMPT));
        }
        return reached;
    }

    private List<RunningStream> startStreams(int entry, int count) {
        List<RunningStream> streams = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            streams.add(startStream(entry, PROMPT));
        }
        return streams;
    }

    private RunningStream startStream(int entry, String prompt) {
        return new RunningStream(
                prompt, mSystem.sendAsync(mSystem.completion(entry, prompt, OUTPUT_TOKENS)));
    }

    private static void assertComplete(List<RunningStream> streams) throws Exception {
        for (RunningStream stream : streams) {
            HttpResponse<String> response = stream.response().get(40, TimeUnit.SECONDS);
            assertWithMessage(response.body())
                    .that(CompletionTexts.text(response.body()))
                    .isEqualTo(CompletionTexts.expectedText(stream.prompt(), OUTPUT_TOKENS));
            assertThat(response.body()).endsWith("data: [DONE]\n\n");
        }
    }
}
