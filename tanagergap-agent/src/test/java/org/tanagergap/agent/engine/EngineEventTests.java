package org.tanagergap.agent.engine;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.json.DecodeException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an error in an event stream that is taken for the end of a completion. */
final class EngineEventTests {

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"error\":{\"code\":\"internal\",\"message\":\"no memory\"}}",
                "{\"request_id\":\"a.1\",\"finish_reason\":\"error\"}",
                "{\"request_id\":\"a.1\",\"finish_reason\":\"stop\",\"error\":{\"code\":1}}",
                "{\"request_id\":\"a.1\",\"index\":0,\"error\":{\"code\":\"x\"}}",
                "{\"request_id\":\"a.1\",\"finish_reason\":\"length\"}",
                "{\"request_id\":\"a.1\",\"finish_reason\":\"stop\",\"usage\":{}}"
            })
    void anErrorOrAnEndWithoutCountsIsNoEvent(String data) {
        assertThrows(DecodeException.class, () -> EngineMessages.event(data));
    }

    @Test
    void theEndOfACompletionIsRead() {
        String data =
                "{\"request_id\":\"a.1\",\"finish_reason\":\"stop\",\"error\":null,"
                        + "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}";
        assertThat(EngineMessages.event(data))
                .isEqualTo(new EngineEvent.Finish("a.1", "stop", 7, 2, 0));
    }
}
