package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;

/**
 * Guards against programs that pass their own tests but do not work together: sends requests
 * through real processes, from the caller to the upstream and back.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class EndToEndRequestTests {

    private static final int LAST = Integer.MAX_VALUE;

    private static RunningSystem sSystem;

    @BeforeAll
    static void startSystem() throws Exception {
        sSystem = RunningSystem.start();
    }

    @AfterAll
    static void stopSystem() throws Exception {
        sSystem.close();
    }

    @Test
    @Order(3)
    void streamsTheCompleteResponseToAShortPrompt() throws Exception {
        String prompt = "fit 38 mm lid to jar ".repeat(200);

        HttpResponse<String> response = sSystem.send(sSystem.completion(1, prompt, 20));

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(CompletionTexts.text(response.body())).isEqualTo(expected(prompt, 20));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }

    @Test
    @Order(1)
    void streamsTheCompleteResponseToAPromptOfAHundredThousandTokens() throws Exception {
        String prompt = "supplier catalogue ".repeat(22_500);

        HttpResponse<String> response =
                sSystem.send(sSystem.completion(2, prompt, 10, "Tanagergap-Rank", "standard"));

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(CompletionTexts.text(response.body())).isEqualTo(expected(prompt, 10));
    }

    @Test
    @Order(5)
    void placesAnOrderOnceAndReplaysItsResponseThroughTheOtherEntry() throws Exception {
        HttpResponse<String> first = sSystem.send(sSystem.order(1, "order-1", "{\"lids\":4}"));
        HttpResponse<String> second = sSystem.send(sSystem.order(2, "order-1", "{\"lids\":4}"));

        assertThat(first.statusCode()).isEqualTo(201);
        assertThat(second.statusCode()).isEqualTo(201);
        assertThat(second.body()).isEqualTo(first.body());
        assertThat(sSystem.read("orders", "/counts")).contains("\"order-1\":1");
    }

    @Test
    @Order(2)
    void rejectsAReusedIdempotencyKeyWithADifferentBody() throws Exception {
        sSystem.send(sSystem.order(1, "order-2", "{\"lids\":4}"));

        HttpResponse<String> other = sSystem.send(sSystem.order(1, "order-2", "{\"lids\":5}"));

        assertThat(other.statusCode()).isEqualTo(422);
        assertThat(other.body()).contains("\"execution\":\"not_run\"");
        assertThat(sSystem.read("orders", "/counts")).contains("\"order-2\":1");
    }

    @Test
    @Order(6)
    void exposesMetricsOfEachProgram() throws Exception {
        sSystem.send(sSystem.completion(1, "metrics", 2));

        assertThat(sSystem.read("entry-1-admin", "/metrics")).contains("# TYPE tanagergap_");
        assertThat(sSystem.read("agent-a-admin", "/metrics")).contains("# TYPE tanagergap_");
    }

    @Test
    @Order(4)
    void showsEachHopInOneTrace() throws Exception {
        String trace = "4bf92f3577b34da6a3ce929d0e0e4736";
        sSystem.send(
                sSystem.completion(
                        1, "trace", 2, "traceparent", "00-" + trace + "-00f067aa0ba902b7-01"));

        // Trace spans are exported in batches, so they appear with a delay.
        for (int i = 0; i < 100 && !isTracedByEntryAndAgent(trace); i++) {
            TimeUnit.MILLISECONDS.sleep(100);
        }
        assertThat(isTracedByEntryAndAgent(trace)).isTrue();
    }

    @Test
    @Order(LAST)
    void cutsNoStreamWhenProgramsReceiveSigtermUnderLoad() throws Exception {
        String prompt = "shutdown under load ".repeat(100);
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            responses.add(sSystem.sendAsync(sSystem.completion(1, prompt, 60)));
        }
        TimeUnit.MILLISECONDS.sleep(800);

        sSystem.process("agent-a").requestTermination();
        sSystem.process("entry-1").requestTermination();

        for (CompletableFuture<HttpResponse<String>> pending : responses) {
            HttpResponse<String> response = pending.get(60, TimeUnit.SECONDS);
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(CompletionTexts.text(response.body())).isEqualTo(expected(prompt, 60));
        }
        for (String name : List.of("agent-a", "entry-1")) {
            assertWithMessage(name).that(sSystem.process(name).waitFor(30)).hasValue(0);
            // The last log lines were lost when the log manager removed its handlers at shutdown.
            assertWithMessage(name).that(sSystem.process(name).output()).contains("\"stopped\"");
        }
    }

    private static boolean isTracedByEntryAndAgent(String trace) throws Exception {
        boolean entry = sSystem.process("entry-1").output().contains(trace);
        boolean agent = false;
        for (String domain : List.of("a", "b", "c")) {
            agent |= sSystem.process("agent-" + domain).output().contains(trace);
        }
        return entry && agent;
    }

    private static String expected(String prompt, int tokens) {
        return CompletionTexts.expectedText(prompt, tokens);
    }
}
