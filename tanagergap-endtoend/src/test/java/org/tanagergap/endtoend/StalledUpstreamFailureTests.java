package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

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

/** Guards against streams lost because an agent or an engine is silent for a while and goes on. */
@ExtendWith(SharedSystemExtension.class)
@Timeout(60)
class StalledUpstreamFailureTests {

    private static final List<String> DOMAINS = List.of("a", "b", "c");
    private static final int STREAMS = 12;
    private static final int OUTPUT_TOKENS = 150;
    private static final long SILENCE_MILLIS = 3_000;

    private final RunningSystem mSystem;

    StalledUpstreamFailureTests(RunningSystem system) {
        mSystem = system;
    }

    @Test
    void streamsOfAnAgentThatIsFrozenForAWhileAreWholeWhenTheOtherEnginesRefuse() throws Exception {
        Map<String, CompletableFuture<HttpResponse<String>>> responses = startStreams("frozen");
        String frozen = awaitBusyEngine();
        for (String domain : DOMAINS) {
            if (!domain.equals(frozen)) {
                mSystem.setFaults("engine-" + domain, "{\"refuse\":true}");
            }
        }
        mSystem.process("agent-" + frozen).freeze();
        try {
            TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS);
        } finally {
            mSystem.process("agent-" + frozen).resume();
        }
        assertWhole(responses);
    }

    @Test
    void streamsAreWholeWhenAllEnginesAreSilentForAWhile() throws Exception {
        Map<String, CompletableFuture<HttpResponse<String>>> responses = startStreams("silent");
        awaitBusyEngine();
        for (String domain : DOMAINS) {
            mSystem.setFaults("engine-" + domain, "{\"silence_ms\":" + SILENCE_MILLIS + "}");
        }
        assertWhole(responses);
    }

    private Map<String, CompletableFuture<HttpResponse<String>>> startStreams(String name) {
        Map<String, CompletableFuture<HttpResponse<String>>> responses = new LinkedHashMap<>();
        for (int i = 0; i < STREAMS; i++) {
            String prompt = ("fit of lid " + name + " " + i + " ").repeat(20);
            responses.put(
                    prompt,
                    mSystem.sendAsync(
                            mSystem.completion(
                                    1 + i % 2,
                                    prompt,
                                    OUTPUT_TOKENS,
                                    "Tanagergap-Deadline-Ms",
                                    "30000")));
        }
        return responses;
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

    private static void assertWhole(Map<String, CompletableFuture<HttpResponse<String>>> responses)
            throws Exception {
        for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> pending :
                responses.entrySet()) {
            HttpResponse<String> response = pending.getValue().get(40, TimeUnit.SECONDS);
            assertWithMessage(response.body()).that(response.body()).endsWith("data: [DONE]\n\n");
            assertThat(CompletionTexts.text(response.body()))
                    .isEqualTo(CompletionTexts.expectedText(pending.getKey(), OUTPUT_TOKENS));
        }
    }
}
