package org.tanagergap.agent;

import java.time.Duration;
import org.tanagergap.platform.keyvalue.HttpKeyValueStore;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.state.intent.IntentLog;
import org.tanagergap.state.intent.IntentLogSettings;
import org.tanagergap.state.intent.KeyValueIntentLog;

/** Creates the intent log of an agent whose upstream is a plain service. */
final class IntentLogs {

    /**
     * The key-value service responds within milliseconds; a longer delay is treated as an outage.
     */
    private static final Duration KEY_VALUE_TIMEOUT = Duration.ofSeconds(1);

    private IntentLogs() {}

    static IntentLog of(AgentSettings settings, ProgramContext program) {
        HostPort address =
                settings.keyValue()
                        .orElseThrow(
                                () ->
                                        new IllegalArgumentException(
                                                "keyValue must be present for a plain service"));
        KeyValueStore store =
                new HttpKeyValueStore(
                        program.vertx(), address, KEY_VALUE_TIMEOUT, program.metrics());
        return new KeyValueIntentLog(store, program.clock(), IntentLogSettings.defaults());
    }
}
