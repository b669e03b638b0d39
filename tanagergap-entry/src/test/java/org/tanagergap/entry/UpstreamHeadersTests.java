package org.tanagergap.entry;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.protocol.v1.Admitted;
import org.tanagergap.protocol.v1.Execution;

/** Guards against responses that name an upstream which did not produce them. */
final class UpstreamHeadersTests {

    private final EntryHarness mHarness = new EntryHarness();

    @AfterEach
    void close() {
        mHarness.close();
    }

    @Test
    void aStreamNamesTheUpstreamAndTheFailureDomainOfItsFirstToken() {
        startWithRefusal(false);
        HttpResponse<String> response = mHarness.send(mHarness.completion(true));
        assertThat(upstream(response)).isEqualTo("runner-b/south");
    }

    @Test
    void aResumedStreamNamesItsFirstUpstreamAndAJsonResponseTheLast() {
        startWithRefusal(true);
        HttpResponse<String> stream = mHarness.send(mHarness.completion(true));
        assertThat(stream.body()).containsMatch("(?s)t0 .*t1 .*DONE");
        assertThat(upstream(stream)).isEqualTo("runner-a/north");
        assertThat(upstream(mHarness.send(mHarness.completion(false)))).isEqualTo("runner-b/south");
    }

    @Test
    void aResponseOfTheEntryItselfNamesNoUpstream() {
        FakeAgent agent = mHarness.agent("runner-1");
        mHarness.start();
        agent.stop();
        HttpResponse<String> response = mHarness.send(mHarness.completion(true));
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Tanagergap-Upstream")).isEmpty();
    }

    /** The first attempt of every request is admitted as runner-a and then fails. */
    private void startWithRefusal(boolean afterFirstToken) {
        FakeAgent[] agents = {mHarness.agent("runner-1"), mHarness.agent("runner-2")};
        for (FakeAgent agent : agents) {
            agent.mScript =
                    (request, stream) -> {
                        boolean first = request.getAttemptId().endsWith("1");
                        String name = first ? "runner-a" : "runner-b";
                        String domain = first ? "north" : "south";
                        stream.send(
                                stream.event()
                                        .setAdmitted(
                                                Admitted.newBuilder()
                                                        .setUpstream(name)
                                                        .setFailureDomain(domain)));
                        if (!first) {
                            stream.token(afterFirstToken ? 1 : 0).finish(2);
                            return;
                        }
                        if (afterFirstToken) {
                            stream.token(0);
                        }
                        stream.fail(
                                "upstream_failed",
                                afterFirstToken
                                        ? Execution.EXECUTION_RAN
                                        : Execution.EXECUTION_NOT_RUN);
                    };
        }
        mHarness.start();
    }

    private static String upstream(HttpResponse<String> response) {
        return response.headers().firstValue("Tanagergap-Upstream").orElse("")
                + "/"
                + response.headers().firstValue("Tanagergap-Failure-Domain").orElse("");
    }
}
