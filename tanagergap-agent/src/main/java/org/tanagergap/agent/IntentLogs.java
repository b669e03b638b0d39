package org.tanagergap.agent;

import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.state.intent.IntentLog;

/** Creates the intent log of an agent beside a plain service. */
final class IntentLogs {

    private IntentLogs() {}

    static IntentLog of(AgentSettings settings, ProgramContext program) {
        throw new UnsupportedOperationException("intent log is not available yet");
    }
}
