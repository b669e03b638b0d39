package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against streams that lose tokens or their end, and against runs without a workspace. */
final class CompletionTests {

    private final EntryHarness mHarness = new EntryHarness();

    @AfterEach
    void close() {
        mHarness.close();
    }

    @Test
    void streamedCompletionIsCompleteAndEndsWithDone() {
        FakeAgent agent = mHarness.agent("runner-1");
        mHarness.start();

        HttpResponse<String> response = mHarness.send(mHarness.completion(true));

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.headers().firstValue("Tanagergap-Request-Id")).isPresent();
        assertThat(response.body()).containsMatch("(?s)t0 .*t1 .*t2 .*\"stop\".*\\[DONE\\]\n\n$");
        assertThat(agent.mRuns.remove().getPolicy().getWorkspace()).isEqualTo("press");
    }
}
