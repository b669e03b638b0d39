package org.tanagergap.state.intent;

import org.tanagergap.api.request.AttemptId;

/** Event in a batch record. */
sealed interface IntentEvent {

    IntentKey key();

    AttemptId attempt();

    /**
     * The attempt may send the call. Each reader counts the time to the deadline from when it
     * applies the record.
     */
    record Intent(IntentKey key, String bodyHash, AttemptId attempt, long timeToDeadlineMillis)
            implements IntentEvent {}

    /** The call has run. */
    record Outcome(IntentKey key, AttemptId attempt, RecordedResponse response)
            implements IntentEvent {}

    /** The attempt has not sent the call and never will. */
    record Abandonment(IntentKey key, AttemptId attempt) implements IntentEvent {}
}
