package org.tanagergap.agent.engine;

import static com.google.common.truth.Truth.assertThat;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the interpretation of an engine's refusals. */
final class EngineRefusalTests {

    private static final Buffer BODY =
            Buffer.buffer("{\"error\":{\"code\":\"rate_limited\",\"message\":\"later\"}}");

    private static Optional<Duration> retryAfter(String header) {
        return EngineMessages.failureOf(429, BODY, Optional.of(header)).retryAfter();
    }

    @Test
    void theTimeUntilTheNextRequestIsRead() {
        assertThat(retryAfter("2")).isEqualTo(Optional.of(Duration.ofSeconds(2)));
        assertThat(retryAfter("0.25")).isEqualTo(Optional.of(Duration.ofMillis(250)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "NaN", "1e400", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"})
    void otherValuesAreIgnored(String header) {
        assertThat(retryAfter(header)).isEqualTo(Optional.empty());
    }
}
