package org.tanagergap.runtime.settings;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.finding.Finding;

/** Guards against sources of settings with the wrong precedence, and against lost findings. */
class SettingsReaderTests {

    private enum Output {
        NONE,
        OPEN_TELEMETRY
    }

    @Nested
    class Precedence {

        private final SettingsReader mReader =
                new SettingsReader(Map.of("TANAGERGAP_ADMIN_LISTEN", "10.0.0.2:9000"));

        @Test
        void prefersTheFlagOverTheVariable() {
            assertThat(mReader.address("--admin-listen", "10.0.0.3:1", "10.0.0.1:1"))
                    .isEqualTo(new HostPort("10.0.0.3", 1));
        }

        @Test
        void prefersTheVariableOverTheDefault() {
            assertThat(mReader.address("--admin-listen", null, "10.0.0.1:1"))
                    .isEqualTo(new HostPort("10.0.0.2", 9000));
        }

        @Test
        void usesTheDefaultOtherwise() {
            assertThat(mReader.millis("--drain", null, "30", 0, 60))
                    .isEqualTo(Duration.ofMillis(30));
        }
    }

    @Nested
    class Reports {

        private final SettingsReader mReader = new SettingsReader(Map.of());

        @Test
        void everyFindingTogetherWithFlagAndVariable() {
            mReader.address("--listen", "nowhere", null);
            mReader.number("--limit", "11", null, 1, 10);
            mReader.text("--name", null, null);
            mReader.choice("--trace-output", "paper", null, Output.class);
            mReader.addresses("--peers", "127.0.0.1:1,bad");

            assertThat(mReader.findings().toList())
                    .containsExactly(
                            new Finding(
                                    "--listen (TANAGERGAP_LISTEN)",
                                    "\"nowhere\" is not valid; expected host:port"),
                            new Finding(
                                    "--limit (TANAGERGAP_LIMIT)",
                                    "\"11\" is not valid; expected a whole number from 1 to 10"),
                            new Finding("--name (TANAGERGAP_NAME)", "is required; expected a text"),
                            new Finding(
                                    "--trace-output (TANAGERGAP_TRACE_OUTPUT)",
                                    "\"paper\" is not valid; expected one of none, open-telemetry"),
                            new Finding(
                                    "--peers (TANAGERGAP_PEERS)",
                                    "\"bad\" is not valid; expected host:port"))
                    .inOrder();
        }
    }
}
