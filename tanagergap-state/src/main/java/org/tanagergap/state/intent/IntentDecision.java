package org.tanagergap.state.intent;

/** Decision on whether a non-idempotent call may be sent. */
public sealed interface IntentDecision {

    /** Only the caller of {@code begin} may send the call, and only once. */
    record Granted() implements IntentDecision {}

    /** The call has run; its recorded response is replayed. */
    record Replay(RecordedResponse response) implements IntentDecision {}

    /** Another attempt has been granted and its deadline has not passed. */
    record InProgress() implements IntentDecision {}

    /** Another attempt was granted; its deadline has passed without a recorded response. */
    record OutcomeUnknown() implements IntentDecision {}

    /** The key has been used with a different body. */
    record KeyConflict() implements IntentDecision {}
}
