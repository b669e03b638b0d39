package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

/**
 * Guards against deadlocks and leaked memory reservations of prompts that need the memory of
 * several engines, when two compete for it or an engine fails.
 */
@ExtendWith(SharedSystemExtension.class)
@Timeout(60)
class SpanningPromptFailureTests {

    private static final int OUTPUT_TOKENS = 20;

    /** A memory reservation whose release was lost expires after 10 s. */
    private static final Duration RELEASE_LIMIT = Duration.ofSeconds(15);

    /** 2.2 times the memory of one engine, at 4.2 bytes of prompt per token. */
    private static final String PROMPT =
            "season ledger of shea butter "
                    .repeat((int) (SharedSystemExtension.MEMORY_TOKENS * 2.2 * 4.2 / 29));

    private final RunningSystem mSystem;

    SpanningPromptFailureTests(RunningSystem system) {
        mSystem = system;
    }

    @Test
    void promptsOfTwiceAnEnginesMemoryCompleteWhenTwoCompeteForIt() throws Exception {
        long[] before = {
            mSystem.submittedRequests("a"),
            mSystem.submittedRequests("b"),
            mSystem.submittedRequests("c"),
        };
        CompletableFuture<HttpResponse<String>> first = start(1, PROMPT);
        CompletableFuture<HttpResponse<String>> second = start(2, "second " + PROMPT);

        assertComplete(first, PROMPT);
        assertComplete(second, "second " + PROMPT);

        assertThat(mSystem.submittedRequests("a")).isAtLeast(before[0] + 2);
        assertThat(mSystem.submittedRequests("b")).isAtLeast(before[1] + 2);
        assertThat(mSystem.submittedRequests("c")).isAtLeast(before[2] + 2);
        awaitMemoryReleased("a span is released", "a", "b", "c");
    }

    @Test
    void memoryReservationsAreReleasedWhenAnEngineFailsDuringPrefill() throws Exception {
        CompletableFuture<HttpResponse<String>> pending = start(1, "fails " + PROMPT);
        Waiting.until(
                "the second segment is prefilled",
                Duration.ofSeconds(30),
                () -> mSystem.engineMemoryTokens("b") > 0);

        mSystem.process("engine-b").kill();

        Waiting.until(
                "a span without an engine frees the others",
                RELEASE_LIMIT,
                () -> mSystem.engineMemoryTokens("a", "c") == 0);
        mSystem.restart("engine-b");
        mSystem.awaitOk("engine-b", "/health");
        HttpResponse<String> response = pending.get(40, TimeUnit.SECONDS);
        if (response.statusCode() == 200 && response.body().endsWith("data: [DONE]\n\n")) {
            assertThat(CompletionTexts.text(response.body()))
                    .isEqualTo(CompletionTexts.expectedText("fails " + PROMPT, OUTPUT_TOKENS));
        } else {
            assertThat(response.body()).containsMatch("\"execution\":\"(ran|unknown)\"");
        }
        System.out.println("measured: span with a failed engine: " + response.statusCode());
        awaitMemoryReleased("a span with a failed engine is released", "a", "b", "c");
    }

    private CompletableFuture<HttpResponse<String>> start(int entry, String prompt) {
        return mSystem.sendAsync(
                mSystem.completion(
                        entry, prompt, OUTPUT_TOKENS, "Tanagergap-Deadline-Ms", "30000"));
    }

    private void awaitMemoryReleased(String what, String... domains) throws Exception {
        Waiting.until(
                what,
                RELEASE_LIMIT,
                () -> {
                    long reserved = mSystem.engineMemoryTokens(domains);
                    for (String domain : List.of(domains)) {
                        reserved +=
                                mSystem.readJson("agent-" + domain + "-admin", "/status")
                                        .getLong("reserved_tokens");
                    }
                    return reserved == 0;
                });
    }

    private static void assertComplete(
            CompletableFuture<HttpResponse<String>> pending, String prompt) throws Exception {
        HttpResponse<String> response = pending.get(40, TimeUnit.SECONDS);
        assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
        assertThat(CompletionTexts.text(response.body()))
                .isEqualTo(CompletionTexts.expectedText(prompt, OUTPUT_TOKENS));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }
}
