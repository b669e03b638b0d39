package org.tanagergap.state.intent;

import org.tanagergap.api.request.AttemptId;

/** Entry of a batch record. */
sealed interface IntentEvent {

    IntentKey key();

    AttemptId attempt();

    /** The attempt may send the call. The time left counts from when a reader sees the record. */
    record Intent(IntentKey key, String bodyHash, AttemptId attempt, long timeLeftMillis)
            implements IntentEvent {}

    /** The call has run. */
    record Outcome(IntentKey key, AttemptId attempt, RecordedResponse answer)
            implements IntentEvent {}

    /** The attempt has certainly not sent the call and never will. */
    record Abandonment(IntentKey key, AttemptId attempt) implements IntentEvent {}
}
