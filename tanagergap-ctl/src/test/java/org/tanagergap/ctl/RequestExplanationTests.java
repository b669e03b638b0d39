package org.tanagergap.ctl;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against explanations that omit a refused attempt or mix lines of two requests. */
class RequestExplanationTests {

    private static final String ENTRY_LINE =
            "{\"time\":\"2026-01-01T00:00:02Z\",\"program\":\"tanagergap-entry\",\"message\":"
                    + "\"request ended: ok\",\"request_id\":\"e-1-1\",\"entry\":\"e-1\","
                    + "\"workspace\":\"press\",\"rank\":\"urgent\",\"service\":\"lids\","
                    + "\"tokens\":900,\"code\":\"ok\",\"execution\":\"ran\",\"attempts\":2,"
                    + "\"duration_ms\":400,\"first_token_ms\":120,\"tried\":["
                    + "{\"attempt_id\":\"e-1-1.1\",\"upstream\":\"runner-a\","
                    + "\"failure_domain\":\"north\",\"predicted_ms\":80,\"code\":\"overloaded\","
                    + "\"execution\":\"not_run\",\"reason\":\"queue is full\",\"duration_ms\":7},"
                    + "{\"attempt_id\":\"e-1-1.2\",\"upstream\":\"runner-b\","
                    + "\"failure_domain\":\"south\",\"predicted_ms\":90,\"code\":\"finished\"}]}";

    private final RequestExplanation mExplanation = new RequestExplanation("e-1-1");

    @Test
    void attemptsAreListedInOrderWithRefusalsAndQueueTimes() {
        mExplanation.add(agentLine("e-1-1", "e-1-1.2", 3));
        mExplanation.add(agentLine("e-1-1", "e-1-1.1", 0));
        mExplanation.add(ENTRY_LINE);
        assertThat(mExplanation.toText())
                .containsMatch(
                        "(?s)entry e-1, workspace press, rank urgent, service lids,"
                                + " about 900 tokens"
                                + ".*attempt 1 at runner-a in north, first token predicted"
                                + " after 80 ms"
                                + ".*overloaded, not_run, ended after 7 ms: queue is full"
                                + ".*attempt 2 at runner-b.*agent: finished, queued 3 ms"
                                + ".*outcome: ok, ran, first token after 120 ms");
        assertThat(mExplanation.toJson().getJsonArray("attempts").getJsonObject(1).encode())
                .contains("\"queued_ms\":3");
    }

    @Test
    void linesOfOtherRequestsAndOtherTextAreIgnored() {
        mExplanation.add("starting e-1-1");
        mExplanation.add("[\"e-1-1\"]");
        mExplanation.add(agentLine("e-1-11", "e-1-11.1", 3));
        assertThat(mExplanation.isEmpty()).isTrue();
    }

    @Test
    void agentLinesWithoutAnEntryLineStillShowWhereTheRequestRan() {
        mExplanation.add(agentLine("e-1-1", "e-1-1.1", 5));
        assertThat(mExplanation.toText())
                .containsMatch("(?s)no line of the entry.*attempt 1 at runner.*queued 5 ms");
    }

    private static String agentLine(String request, String attempt, long queuedMillis) {
        return "{\"time\":\"2026-01-01T00:00:01Z\",\"request_id\":\""
                + request
                + "\",\"attempt_id\":\""
                + attempt
                + "\",\"upstream\":\"runner\",\"outcome\":\"finished\",\"queued_ms\":"
                + queuedMillis
                + "}";
    }
}
