package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import java.io.InputStream;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.protocol.v1.RunRequest;

/**
 * Guards against spanning prompts that reserve, prefill or release in the wrong order, or that lose
 * text between segments.
 */
final class SpanningPromptTests {

    private final EntryHarness mHarness = new EntryHarness();
    private FakeAgent mFirst;
    private FakeAgent mSecond;

    @BeforeEach
    void start() {
        mHarness.mMemoryTokens = 1_000;
        mSecond = mHarness.agent("runner-2");
        mFirst = mHarness.agent("runner-1");
        mFirst.mHint = hint(1_000);
        mSecond.mHint = hint(1_000);
    }

    @AfterEach
    void close() {
        mHarness.close();
    }

    private void startEntry() {
        mHarness.start();
        EntryHarness.await(() -> !mFirst.mExchanges.isEmpty() && !mSecond.mExchanges.isEmpty());
        EntryHarness.pause(200);
    }

    private static Hint hint(long free) {
        return Hint.newBuilder()
                .setUpstreamReady(true)
                .setMemoryTokensTotal(1_000)
                .setMemoryTokensFree(free)
                .setPrefillTokensPerSecond(10_000)
                .build();
    }

    private HttpResponse<String> send(int promptTokens) {
        return mHarness.send(request(promptTokens, false));
    }

    private HttpRequest request(int promptTokens, boolean stream) {
        String body =
                "{\"model\":\"lid-7b\",\"max_tokens\":10,\"stream\":"
                        + stream
                        + ",\"prompt\":\""
                        + "lid ".repeat(promptTokens)
                        + "\"}";
        return mHarness.request("/v1/completions").POST(BodyPublishers.ofString(body)).build();
    }

    @Test
    void promptRunsOverTwoAgentsInOrderOfName() throws Exception {
        startEntry();
        HttpResponse<String> response = send(1_500);

        assertThat(response.body()).contains("t0 t1 t2");
        RunRequest run = mSecond.mRuns.take();
        assertThat(run.getCompletion().getSegmentsCount()).isEqualTo(1);
        assertThat(run.getCompletion().getHoldId()).isEqualTo(run.getAttemptId());
        EntryHarness.await(() -> mHarness.mCalls.size() == 5);
        assertThat(mHarness.mCalls.get(0)).startsWith("runner-1 hold");
        assertThat(mHarness.mCalls.get(1)).startsWith("runner-2 hold");
        int prefilled = Integer.parseInt(mHarness.mCalls.get(2).split("prefill ")[1]);
        // Together the segments are the prompt, without a missing or duplicated character.
        assertThat(prefilled + run.getCompletion().getPrompt().length()).isEqualTo(6_000);
        assertThat(List.copyOf(mHarness.mCalls).subList(3, 5))
                .containsExactly("runner-1 release", "runner-2 release");
        assertThat(mFirst.mRuns).isEmpty();
    }

    @Test
    void promptLargerThanTheMemoryOfAllAgentsIsRefused() {
        startEntry();
        HttpResponse<String> response = send(1_995);
        assertThat(response.statusCode()).isEqualTo(413);
        assertThat(response.body()).contains("\"execution\":\"not_run\"");
        assertThat(mHarness.mCalls).isEmpty();
    }

    @Test
    void refusedReservationReleasesTheOthersAndIsRetried() {
        startEntry();
        mSecond.mHint = hint(0);
        mHarness.mVertx.setTimer(600, ignored -> mSecond.mHint = hint(1_000));
        assertThat(send(1_500).body()).contains("t0 t1 t2");
        assertThat(List.copyOf(mHarness.mCalls).subList(2, 4))
                .containsExactly("runner-1 release", "runner-2 release");
    }

    /** Guards against a prompt lost because one of its agents is silent while it is prefilled. */
    @Test
    void oneSilentPeriodOfAnAgentEndsNoReservation() {
        assertNoReservationEndsWhenTheSecondAgentIsSilent(1_900);
    }

    /** Guards against the same with a period that begins later. */
    @Test
    void oneLaterSilentPeriodOfAnAgentEndsNoReservation() {
        assertNoReservationEndsWhenTheSecondAgentIsSilent(2_900);
    }

    private void assertNoReservationEndsWhenTheSecondAgentIsSilent(long afterMillis) {
        startEntry();
        mFirst.mPrefillDelayMillis = 6_000;
        mHarness.mVertx.setTimer(afterMillis, ignored -> silence(2_300));
        assertThat(send(1_500).body()).contains("t0 t1 t2");
        assertThat(mHarness.counter("retries")).isEqualTo(0);
    }

    private void silence(long millis) {
        mSecond.mReservationsSilentUntilNanos =
                System.nanoTime() + Duration.ofMillis(millis).toNanos();
    }

    /** Guards against memory that stays reserved for an agent that is silent for good. */
    @Test
    void anAgentThatIsSilentForGoodEndsThePromptDuringItsPrefill() {
        startEntry();
        mFirst.mPrefillDelayMillis = 15_000;
        mHarness.mVertx.setTimer(1_000, ignored -> silence(60_000));
        long start = System.nanoTime();
        CompletableFuture.runAsync(() -> send(1_500));
        EntryHarness.await(() -> mHarness.counter("retries") == 1);
        assertThat(Duration.ofNanos(System.nanoTime() - start))
                .isLessThan(Duration.ofMillis(5_500));
    }

    /** Guards against a prompt that is prefilled again, or lost, after a silence of its agent. */
    @Test
    void oneSilentPeriodDuringTheLastSegmentEndsNoAttempt() {
        startEntry();
        mSecond.mScript =
                (request, stream) -> {
                    stream.tokens(0, 1);
                    mHarness.mVertx.setTimer(2_200, ignored -> stream.tokens(1, 3).finish(3));
                };
        assertThat(send(1_500).body()).contains("t0 t1 t2");
        assertThat(mHarness.counter("retries")).isEqualTo(0);
    }

    /** Memory stayed reserved until the deadline for a caller that did not read. */
    @Test
    void memoryIsNotExtendedForLongWhileTheCallerDoesNotRead() throws Exception {
        startEntry();
        mSecond.mScript = (request, stream) -> stream.sendUntilBackPressure(mHarness.mVertx);
        HttpResponse<InputStream> response =
                mHarness.mClient.send(request(1_500, true), BodyHandlers.ofInputStream());
        EntryHarness.pause(8_000);
        long extensions = reservations();

        EntryHarness.pause(4_500);

        assertThat(reservations()).isEqualTo(extensions);
        response.body().close();
    }

    private long reservations() {
        return mHarness.mCalls.stream().filter(call -> call.startsWith("runner-1 hold")).count();
    }
}
