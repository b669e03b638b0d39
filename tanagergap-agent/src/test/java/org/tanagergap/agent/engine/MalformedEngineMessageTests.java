package org.tanagergap.agent.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.scheduling.EngineRun;

/** Guards against one malformed item of an engine that hides its other items. */
class MalformedEngineMessageTests {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "7",
                "null",
                "[]",
                "{}",
                "{\"request_id\":7}",
                "{\"request_id\":null}",
                "{\"request_id\":\"\"}",
                "{\"request_id\":{}}"
            })
    void aMalformedRunIsSkippedAndItsNeighbourListed(String run) {
        JsonObject json =
                new JsonObject(
                        "{\"runs\":[" + run + ",{\"request_id\":\"a.1\",\"memory_tokens\":5}]}");

        assertThat(EngineMessages.runs(json))
                .containsExactly(new EngineRun(new AttemptId("a.1"), 5));
    }

    /** The run occupies memory, so that an orphan must still be found and cancelled. */
    @ParameterizedTest
    @ValueSource(strings = {"1e400", "9999999999999999999999", "-1", "\"5\"", "null", "{}"})
    void aRunWithAMalformedSizeIsListedWithoutIt(String number) {
        JsonObject json =
                new JsonObject(
                        "{\"runs\":[{\"request_id\":\"a.1\",\"memory_tokens\":" + number + "}]}");

        assertThat(EngineMessages.runs(json))
                .containsExactly(new EngineRun(new AttemptId("a.1"), 0));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e400", "9999999999999999999999", "-1", "\"5\"", "null", "{}", "1.5"})
    void aMalformedNumberOfALoadReportCountsAsNotReported(String number) {
        EngineLoad load =
                EngineMessages.load(
                        new JsonObject(
                                "{\"memory_tokens_used\":3,\"memory_tokens_total\":"
                                        + number
                                        + ",\"queued\":"
                                        + number
                                        + ",\"sampled_at_ms\":4}"));

        assertThat(load).isEqualTo(new EngineLoad(3, 0, 0, 0, 4));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e400", "9999999999999999999999", "-1", "\"5\"", "{}", "1.5"})
    void aTokenWithAMalformedIndexIsRejected(String index) {
        assertThrows(
                DecodeException.class,
                () -> EngineMessages.event("{\"request_id\":\"a\",\"index\":" + index + "}"));
    }

    /** Only the count of the engine reveals that the last token was lost. */
    @ParameterizedTest
    @ValueSource(strings = {"1e400", "9999999999999999999999", "-1", "\"5\"", "{}", "1.5"})
    void anEndWithAMalformedCountOfTokensIsRejected(String count) {
        String end =
                "{\"request_id\":\"a\",\"finish_reason\":\"stop\",\"usage\":"
                        + "{\"completion_tokens\":"
                        + count
                        + "}}";
        assertThrows(DecodeException.class, () -> EngineMessages.event(end));
    }

    @ParameterizedTest
    @ValueSource(strings = {"1e400", "9999999999999999999999", "-1", "\"5\"", "{}", "1.5"})
    void aCacheEventWithAMalformedSequenceIsRejected(String sequence) {
        assertThrows(
                DecodeException.class,
                () -> EngineMessages.cacheEvent("{\"sequence\":" + sequence + "}"));
    }

    /** A body that is no error of the engine proves nothing about the request. */
    @ParameterizedTest
    @ValueSource(strings = {"", "7", "{", "{\"error\":7}", "{\"error\":null}", "NESTED"})
    void aMalformedErrorIsNoPromiseThatNothingRan(String body) {
        String nested = "{\"error\":".repeat(5_000) + "1" + "}".repeat(5_000);
        Buffer bytes = Buffer.buffer(body.equals("NESTED") ? nested : body);

        assertThat(EngineMessages.failureOf(429, bytes, Optional.empty()).execution())
                .isEqualTo(Execution.UNKNOWN);
    }
}
