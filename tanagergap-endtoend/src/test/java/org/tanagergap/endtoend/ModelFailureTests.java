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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

/** Callers of completions under crashes and pauses of programs and faults of engines. */
@ExtendWith(SharedSystem.class)
@Timeout(60)
class ModelFailureTests {

    private static final String[] ENGINES = {"a", "b", "c"};
    private static final int STREAMS = 12;
    private static final int TOKENS = 150;

    /** Longer than any test waits, so that only a cancellation frees the memory. */
    private static final int UNFINISHED_TOKENS = 2_000;

    /** Two reconciliations with the engine, 5 s apart, and the time of their calls. */
    private static final Duration RECONCILED = Duration.ofSeconds(12);

    private final RunningSystem mSystem;

    ModelFailureTests(RunningSystem system) {
        mSystem = system;
    }

    @Test
    void callersReceiveWholeAnswersWhenAnAgentIsKilledMidStream() throws Exception {
        Map<String, CompletableFuture<HttpResponse<String>>> answers = startStreams("kill", 30_000);
        String busy = awaitRuns();

        mSystem.process("agent-" + busy).kill();

        assertWhole(answers);
        awaitNoMemory("killed agent: engine memory is zero", RECONCILED);
    }

    @Test
    void aReplacedAgentEndsRunsThatItDoesNotKnow() throws Exception {
        mSystem.process("agent-b").kill();
        try (Socket orphan =
                new Socket(InetAddress.getLoopbackAddress(), mSystem.port("engine-b"))) {
            // The engine sees an open connection, as after a network partition without a reset.
            post(
                    orphan,
                    "/v1/completions",
                    "{\"request_id\":\"orphan\",\"model\":\"m1\",\"prompt\":\"orphan\","
                            + "\"max_tokens\":9000,\"stream\":true}");
            Waiting.until(
                    "the orphan runs", Duration.ofSeconds(5), () -> mSystem.engineMemory("b") > 0);

            mSystem.restart("agent-b");
            mSystem.await("agent-b-admin", "/readyz");

            // Readiness means that the orphans were cancelled before any work is admitted.
            awaitNoMemory("replaced agent: orphans ended after readiness", Duration.ofSeconds(2));
        }
    }

    @Test
    void callersHaveAnAnswerOrAFailureByTheirDeadlineWhenAnAgentIsFrozen() throws Exception {
        long deadlineMillis = 10_000;
        long start = System.nanoTime();
        Map<String, CompletableFuture<HttpResponse<String>>> answers =
                startStreams("freeze", deadlineMillis);
        String busy = awaitRuns();
        mSystem.process("agent-" + busy).freeze();
        try {
            int whole = 0;
            for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> answer :
                    answers.entrySet()) {
                HttpResponse<String> response = answer.getValue().get(60, TimeUnit.SECONDS);
                long endedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
                assertThat(endedMillis).isLessThan(deadlineMillis + 1_000);
                if (response.body().endsWith("data: [DONE]\n\n")) {
                    assertThat(Answers.text(response.body()))
                            .isEqualTo(Answers.expected(answer.getKey(), TOKENS));
                    whole++;
                } else {
                    assertThat(response.body()).contains("\"execution\":");
                }
            }
            System.out.printf("measured: frozen agent: %d of %d answers whole%n", whole, STREAMS);
        } finally {
            mSystem.process("agent-" + busy).resume();
        }
        awaitNoMemory("resumed agent: engine memory is zero", RECONCILED);
    }

    @Test
    void engineMemoryReturnsToZeroWhenAnEntryIsKilled() throws Exception {
        List<Socket> callers = openStreams(1, 6);

        mSystem.process("entry-1").kill();

        awaitNoMemory("killed entry: engine memory is zero", RECONCILED);
        close(callers);
    }

    @Test
    void engineMemoryReturnsToZeroWhenCallersLeave() throws Exception {
        List<Socket> callers = openStreams(2, 6);

        close(callers);

        awaitNoMemory("callers left: engine memory is zero", RECONCILED);
    }

    @Test
    void answersAreWholeWhenEnginesSendWrongEventsOrCutStreams() throws Exception {
        awaitAllAgentsUsed();
        // The third engine stays sound where an attempt fails: a request has three attempts.
        Map<String, List<String>> faults = new LinkedHashMap<>();
        faults.put("{\"crossed\":20}", List.of("a", "b", "c"));
        faults.put("{\"duplicated\":20}", List.of("a", "b", "c"));
        faults.put("{\"skipped\":2}", List.of("a", "b"));
        faults.put("{\"cut_after_tokens\":9}", List.of("a", "b"));
        faults.put("{\"crossed\":5,\"duplicated\":5,\"cut_after_tokens\":4}", List.of("b", "c"));
        for (Map.Entry<String, List<String>> fault : faults.entrySet()) {
            for (String domain : ENGINES) {
                boolean faulty = fault.getValue().contains(domain);
                mSystem.setFaults("engine-" + domain, faulty ? fault.getKey() : "{}");
            }
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                answers.add(mSystem.sendAsync(mSystem.completion(1 + i % 2, prompt("e", i), 30)));
            }
            for (int i = 0; i < 6; i++) {
                assertWhole(fault.getKey(), prompt("e", i), 30, answers.get(i));
            }
        }
        awaitNoMemory("wrong events: engine memory is zero", RECONCILED);
    }

    @Test
    void aRefusalOfAllEnginesSaysNotRunAndNothingRan() throws Exception {
        for (String domain : ENGINES) {
            mSystem.setFaults("engine-" + domain, "{\"refuse\":true}");
        }
        long before = mSystem.submitted(ENGINES);
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
        assertThat(mSystem.submitted(ENGINES)).isEqualTo(before);
    }

    private Map<String, CompletableFuture<HttpResponse<String>>> startStreams(
            String name, long deadlineMillis) {
        Map<String, CompletableFuture<HttpResponse<String>>> answers = new LinkedHashMap<>();
        for (int i = 0; i < STREAMS; i++) {
            String prompt = prompt(name, i);
            answers.put(
                    prompt,
                    mSystem.sendAsync(
                            mSystem.completion(
                                    1 + i % 2,
                                    prompt,
                                    TOKENS,
                                    "Tanagergap-Deadline-Ms",
                                    Long.toString(deadlineMillis))));
        }
        return answers;
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
                            + UNFINISHED_TOKENS
                            + "}");
        }
        for (Socket caller : callers) {
            String head =
                    new String(caller.getInputStream().readNBytes("HTTP/1.1 200".length()), UTF_8);
            assertThat(head).isEqualTo("HTTP/1.1 200");
        }
        assertThat(mSystem.engineMemory(ENGINES)).isAtLeast(UNFINISHED_TOKENS);
        return callers;
    }

    /** Waits until an engine runs something, lets it stream for a while and returns its name. */
    private String awaitRuns() throws Exception {
        List<String> busy = new ArrayList<>();
        Waiting.until(
                "an engine runs",
                Duration.ofSeconds(10),
                () -> {
                    for (String domain : ENGINES) {
                        if (mSystem.engineMemory(domain) > 0) {
                            busy.add(domain);
                        }
                    }
                    return !busy.isEmpty();
                });
        TimeUnit.MILLISECONDS.sleep(300);
        return busy.get(0);
    }

    /** Waits until each entry uses each agent; one that was replaced is probed with backoff. */
    private void awaitAllAgentsUsed() throws Exception {
        for (int entry : List.of(1, 2)) {
            Map<String, Long> before = new LinkedHashMap<>();
            for (String domain : ENGINES) {
                before.put(domain, mSystem.submitted(domain));
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
                        for (String domain : ENGINES) {
                            all &= mSystem.submitted(domain) > before.get(domain);
                        }
                        return all;
                    });
        }
    }

    private void awaitNoMemory(String what, Duration limit) throws Exception {
        Waiting.until(what, limit, () -> mSystem.engineMemory(ENGINES) == 0);
    }

    private static void assertWhole(Map<String, CompletableFuture<HttpResponse<String>>> answers)
            throws Exception {
        for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> answer :
                answers.entrySet()) {
            assertWhole("answer", answer.getKey(), TOKENS, answer.getValue());
        }
    }

    private static void assertWhole(
            String what, String prompt, int tokens, CompletableFuture<HttpResponse<String>> answer)
            throws Exception {
        HttpResponse<String> response = answer.get(60, TimeUnit.SECONDS);
        assertWithMessage("%s: %s", what, response.body())
                .that(response.body())
                .endsWith("data: [DONE]\n\n");
        assertWithMessage(what)
                .that(Answers.text(response.body()))
                .isEqualTo(Answers.expected(prompt, tokens));
    }

    private static void post(Socket socket, String path, String body) throws Exception {
        OutputStream out = socket.getOutputStream();
        String head =
                "POST %s HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer %s\r\n"
                        + "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n";
        out.write(
                (head.formatted(path, RunningSystem.KEY_ONE, body.length()) + body)
                        .getBytes(UTF_8));
        out.flush();
    }

    private static void close(List<Socket> sockets) throws Exception {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    /** Takes longer to prefill than another failure domain is away, so that the load spreads. */
    private static String probe(int number) {
        return (number + " " + System.nanoTime() + " ").repeat(500);
    }

    private static String prompt(String name, int number) {
        return ("fit of lid " + name + " " + number + " ").repeat(20);
    }
}
