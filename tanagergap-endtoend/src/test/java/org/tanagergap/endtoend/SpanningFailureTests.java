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

/** Prompts that need the memory of several engines. */
@ExtendWith(SharedSystem.class)
@Timeout(60)
class SpanningFailureTests {

    private static final int TOKENS = 20;

    /** The hold of a lost release expires after 10 s. */
    private static final Duration RELEASED = Duration.ofSeconds(15);

    /** 2.2 times the memory of one engine, at 4.2 bytes of prompt per token. */
    private static final String PROMPT =
            "season ledger of shea butter "
                    .repeat((int) (SharedSystem.MEMORY_TOKENS * 2.2 * 4.2 / 29));

    private final RunningSystem mSystem;

    SpanningFailureTests(RunningSystem system) {
        mSystem = system;
    }

    @Test
    void promptsOfTwiceAnEnginesMemoryCompleteAlsoWhenTwoCompeteForIt() throws Exception {
        long[] before = {
            mSystem.submitted("a"), mSystem.submitted("b"), mSystem.submitted("c"),
        };
        CompletableFuture<HttpResponse<String>> first = start(1, PROMPT);
        CompletableFuture<HttpResponse<String>> second = start(2, "second " + PROMPT);

        assertWhole(first, PROMPT);
        assertWhole(second, "second " + PROMPT);

        assertThat(mSystem.submitted("a")).isAtLeast(before[0] + 2);
        assertThat(mSystem.submitted("b")).isAtLeast(before[1] + 2);
        assertThat(mSystem.submitted("c")).isAtLeast(before[2] + 2);
        awaitReleased("a span is released", "a", "b", "c");
    }

    @Test
    void holdsAreReleasedWhenAnEngineFailsInBetween() throws Exception {
        CompletableFuture<HttpResponse<String>> answer = start(1, "fails " + PROMPT);
        Waiting.until(
                "the second segment is prefilled",
                Duration.ofSeconds(30),
                () -> mSystem.engineMemory("b") > 0);

        mSystem.process("engine-b").kill();

        Waiting.until(
                "a span without an engine frees the others",
                RELEASED,
                () -> mSystem.engineMemory("a", "c") == 0);
        mSystem.restart("engine-b");
        mSystem.await("engine-b", "/health");
        HttpResponse<String> response = answer.get(40, TimeUnit.SECONDS);
        if (response.statusCode() == 200 && response.body().endsWith("data: [DONE]\n\n")) {
            assertThat(Answers.text(response.body()))
                    .isEqualTo(Answers.expected("fails " + PROMPT, TOKENS));
        } else {
            assertThat(response.body()).containsMatch("\"execution\":\"(ran|unknown)\"");
        }
        System.out.println("measured: span with a failed engine: " + response.statusCode());
        awaitReleased("a span with a failed engine is released", "a", "b", "c");
    }

    private CompletableFuture<HttpResponse<String>> start(int entry, String prompt) {
        return mSystem.sendAsync(
                mSystem.completion(entry, prompt, TOKENS, "Tanagergap-Deadline-Ms", "30000"));
    }

    private void awaitReleased(String what, String... domains) throws Exception {
        Waiting.until(
                what,
                RELEASED,
                () -> {
                    long reserved = mSystem.engineMemory(domains);
                    for (String domain : List.of(domains)) {
                        reserved +=
                                mSystem.json("agent-" + domain + "-admin", "/status")
                                        .getLong("reserved_tokens");
                    }
                    return reserved == 0;
                });
    }

    private static void assertWhole(CompletableFuture<HttpResponse<String>> answer, String prompt)
            throws Exception {
        HttpResponse<String> response = answer.get(40, TimeUnit.SECONDS);
        assertWithMessage(response.body()).that(response.statusCode()).isEqualTo(200);
        assertThat(Answers.text(response.body())).isEqualTo(Answers.expected(prompt, TOKENS));
        assertThat(response.body()).endsWith("data: [DONE]\n\n");
    }
}
