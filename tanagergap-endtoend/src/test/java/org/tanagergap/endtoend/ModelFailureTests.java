package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against incomplete or wrong completions and leaked engine memory when programs are killed
 * or frozen, callers disconnect, or engines send faulty streams.
 */
// The tests share one running system, so their order is fixed.
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
@ExtendWith(SharedSystemExtension.class)
@Timeout(60)
class ModelFailureTests {

    private static final String[] DOMAINS = {"a", "b", "c"};
    private static final int STREAMS = 12;
    private static final int OUTPUT_TOKENS = 150;

    /** Takes longer to decode than any test waits, so that only a cancellation frees the memory. */
    private static final int UNFINISHED_OUTPUT_TOKENS = 2_000;

    /** Allows for two reconciliations with the engine, 5 s apart, and their calls. */
    private static final Duration RECONCILIATION_LIMIT = Duration.ofSeconds(12);

    private final RunningSystem mSystem;

    ModelFailureTests(RunningSystem system) {
        mSystem = system;
    }

    @Test
    @Order(6)
    void callersReceiveCompleteResponsesWhenAnAgentIsKilledMidStream() throws Exception {
        Map<String, CompletableFuture<HttpResponse<String>>> responses =
                startStreams("kill", 30_000);
        String busy = awaitBusyEngine();

        mSystem.process("agent-" + busy).kill();

        assertComplete(responses);
        awaitZeroEngineMemory("killed agent: engine memory is zero", RECONCILIATION_LIMIT);
    }

    @Test
    @Order(2)
    void aRestartedAgentCancelsRunsThatItHasNoRecordOf() throws Exception {
        mSystem.process("agent-b").kill();
        try (Socket orphanedCaller =
                new Socket(InetAddress.getLoopbackAddress(), mSystem.port("engine-b"))) {
            // The connection stays open, as after a network partition without a TCP reset.
            post(
                    orphanedCaller,
                    "/v1/completions",
                    "{\"request_id\":\"orphan\",\"model\":\"m1\",\"prompt\":\"orphan\","
                            + "\"max_tokens\":9000,\"stream\":true}");
            Waiting.until(
                    "the orphan runs",
                    Duration.ofSeconds(5),
                    () -> mSystem.engineMemoryTokens("b") > 0);

            mSystem.restart("agent-b");
            mSystem.awaitOk("agent-b-admin", "/readyz");

            // The agent cancels orphaned runs before it reports ready and admits requests.
            awaitZeroEngineMemory(
                    "replaced agent: orphans ended after readiness", Duration.ofSeconds(2));
        }
    }

    @Test
    @Order(3)
    void callersReceiveAResponseOrAnErrorByTheirDeadlineWhenAnAgentIsFrozen() throws Exception {
        long deadlineMillis = 10_000;
        long start = System.nanoTime();
        Map<String, CompletableFuture<HttpResponse<String>>> responses =
                startStreams("freeze", deadlineMillis);
        String busy = awaitBusyEngine();
        mSystem.process("agent-" + busy).freeze();
        try {
            int whole = 0;
            for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> pending :
                    responses.entrySet()) {
                HttpResponse<String> response = pending.getValue().get(60, TimeUnit.SECONDS);
                long endedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
                assertThat(endedMillis).isLessThan(deadlineMillis + 1_000);
                if (response.body().endsWith("data: [DONE]\n\n")) {
                    assertThat(CompletionTexts.text(response.body()))
                            .isEqualTo(
                                    CompletionTexts.expectedText(pending.getKey(), OUTPUT_TOKENS));
                    whole++;
                } else {
                    assertThat(response.body()).contains("\"execution\":");
                }
            }
            System.out.printf("measured: frozen agent: %d of %d answers whole%n", whole, STREAMS);
        } finally {
            mSystem.process("agent-" + busy).resume();
        }
        awaitZeroEngineMemory("resumed agent: engine memory is zero", RECONCILIATION_LIMIT);
    }

    @Test
    @Order(7)
    void engineMemoryReturnsToZeroWhenAnEntryIsKilled() throws Exception {
        List<Socket> callers = openStreams(1, 6);

        mSystem.process("entry-1").kill();

        awaitZeroEngineMemory("killed entry: engine memory is zero", RECONCILIATION_LIMIT);
        close(callers);
    }

    @Test
    @Order(1)
    void engineMemoryReturnsToZeroWhenCallersDisconnect() throws Exception {
        List<Socket> callers = openStreams(2, 6);

        close(callers);

        awaitZeroEngineMemory("callers left: engine memory is zero", RECONCILIATION_LIMIT);
    }

    @Test
    @Order(4)
    void responsesAreCompleteWhenEnginesSendWrongEventsOrCutStreams() throws Exception {
        awaitAllAgentsReceiveRequests();
        // Where a fault fails the attempt, one engine has no fault: a request has three attempts.
        Map<String, List<String>> faults = new LinkedHashMap<>();
        faults.put("{\"crossed\":20}", List.of("a", "b", "c"));
        faults.put("{\"duplicated\":20}", List.of("a", "b", "c"));
        faults.put("{\"skipped\":2}", List.of("a", "b"));
        faults.put("{\"cut_after_tokens\":9}", List.of("a", "b"));
        faults.put("{\"crossed\":5,\"duplicated\":5,\"cut_after_tokens\":4}", List.of("b", "c"));
        for (Map.Entry<String, List<String>> fault : faults.entrySet()) {
            for (String domain : DOMAINS) {
                boolean faulty = fault.getValue().contains(domain);
                mSystem.setFaults("engine-" + domain, faulty ? fault.getKey() : "{}");
            }
            List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                responses.add(mSystem.sendAsync(mSystem.completion(1 + i % 2, prompt("e", i), 30)));
            }
            for (int i = 0; i < 6; i++) {
                assertComplete(fault.getKey(), prompt("e", i), 30, responses.get(i));
            }
        }
        awaitZeroEngineMemory("wrong events: engine memory is zero", RECONCILIATION_LIMIT);
    }

    @Test
    @Order(5)
    void aRefusalByAllEnginesIsReportedAsNotRunAndNothingRuns() throws Exception {
        for (String domain : DOMAINS) {
            mSystem.setFaults("engine-" + domain, "{\"refuse\":true}");
        }
        long before = mSystem.submittedRequests(DOMAINS);
        for (int i = 0; i < 4; i++) {
            HttpResponse<String> response =
                    mSystem.send(
                            mSystem.completion(
                                    1 + i % 2,
                                    prompt("r", i),
                                    5,
                                    "Tanagergap-Deadline-Ms",
                                    "3000"));
            assertThat(response.statusCode()).isAtLeast(400);
            assertThat(response.body()).contains("\"execution\":\"not_run\"");
        }
        assertThat(mSystem.submittedRequests(DOMAINS)).isEqualTo(before);
    }

    private Map<String, CompletableFuture<HttpResponse<String>>> startStreams(
            String name, long deadlineMillis) {
        Map<String, CompletableFuture<HttpResponse<String>>> responses = new LinkedHashMap<>();
        for (int i = 0; i < STREAMS; i++) {
            String prompt = prompt(name, i);
            responses.put(
                    prompt,
                    mSystem.sendAsync(
                            mSystem.completion(
                                    1 + i % 2,
                                    prompt,
                                    OUTPUT_TOKENS,
                                    "Tanagergap-Deadline-Ms",
                                    Long.toString(deadlineMillis))));
        }
        return responses;
    }

    private List<Socket> openStreams(int entry, int count) throws Exception {
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket caller =
                    new Socket(InetAddress.getLoopbackAddress(), mSystem.port("entry-" + entry));
            caller.setSoTimeout(20_000);
            callers.add(caller);
            post(
                    caller,
                    "/v1/completions",
                    "{\"model\":\"m1\",\"prompt\":\"unfinished\",\"stream\":true,\"max_tokens\":"
                            + UNFINISHED_OUTPUT_TOKENS
                            + "}");
        }
        for (Socket caller : callers) {
            String head =
                    new String(caller.getInputStream().readNBytes("HTTP/1.1 200".length()), UTF_8);
            assertThat(head).isEqualTo("HTTP/1.1 200");
        }
        assertThat(mSystem.engineMemoryTokens(DOMAINS)).isAtLeast(UNFINISHED_OUTPUT_TOKENS);
        return callers;
    }

    /** Waits until an engine runs requests, lets it stream for 300 ms and returns its domain. */
    private String awaitBusyEngine() throws Exception {
        List<String> busy = new ArrayList<>();
        Waiting.until(
                "an engine runs",
                Duration.ofSeconds(10),
                () -> {
                    for (String domain : DOMAINS) {
                        if (mSystem.engineMemoryTokens(domain) > 0) {
                            busy.add(domain);
                        }
                    }
                    return !busy.isEmpty();
                });
        TimeUnit.MILLISECONDS.sleep(300);
        return busy.get(0);
    }

    /**
     * Waits until each entry sends requests to each agent. Entries probe a restarted agent with
     * backoff before they use it again.
     */
    private void awaitAllAgentsReceiveRequests() throws Exception {
        for (int entry : List.of(1, 2)) {
            Map<String, Long> before = new LinkedHashMap<>();
            for (String domain : DOMAINS) {
                before.put(domain, mSystem.submittedRequests(domain));
            }
            Waiting.until(
                    "entry " + entry + " uses every agent",
                    Duration.ofSeconds(20),
                    () -> {
                        List<CompletableFuture<HttpResponse<String>>> probes = new ArrayList<>();
                        for (int i = 0; i < 9; i++) {
                            probes.add(mSystem.sendAsync(mSystem.completion(entry, probe(i), 1)));
                        }
                        for (CompletableFuture<HttpResponse<String>> probe : probes) {
                            probe.get(20, TimeUnit.SECONDS);
                        }
                        boolean all = true;
                        for (String domain : DOMAINS) {
                            all &= mSystem.submittedRequests(domain) > before.get(domain);
                        }
                        return all;
                    });
        }
    }

    private void awaitZeroEngineMemory(String what, Duration limit) throws Exception {
        Waiting.until(what, limit, () -> mSystem.engineMemoryTokens(DOMAINS) == 0);
    }

    private static void assertComplete(
            Map<String, CompletableFuture<HttpResponse<String>>> responses) throws Exception {
        for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> pending :
                responses.entrySet()) {
            assertComplete("response", pending.getKey(), OUTPUT_TOKENS, pending.getValue());
        }
    }

    private static void assertComplete(
            String what, String prompt, int tokens, CompletableFuture<HttpResponse<String>> pending)
            throws Exception {
        HttpResponse<String> response = pending.get(60, TimeUnit.SECONDS);
        assertWithMessage("%s: %s", what, response.body())
                .that(response.body())
                .endsWith("data: [DONE]\n\n");
        assertWithMessage(what)
                .that(CompletionTexts.text(response.body()))
                .isEqualTo(CompletionTexts.expectedText(prompt, tokens));
    }

    private static void post(Socket socket, String path, String body) throws Exception {
        OutputStream out = socket.getOutputStream();
        String head =
                "POST %s HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer %s\r\n"
                        + "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n";
        out.write(
                (head.formatted(path, RunningSystem.API_KEY_ONE, body.length()) + body)
                        .getBytes(UTF_8));
        out.flush();
    }

    private static void close(List<Socket> sockets) throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Prefill takes longer than the network delay between failure domains, so load spreads. */
    private static String probe(int number) {
        return (number + " " + System.nanoTime() + " ").repeat(500);
    }

    private static String prompt(String name, int number) {
        return ("fit of lid " + name + " " + number + " ").repeat(20);
    }
}
