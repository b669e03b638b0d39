package org.tanagergap.state.intent;

/** Answer to the question whether a non-idempotent call may be sent. */
public sealed interface IntentDecision {

    /** The caller of {@code begin}, and nobody else, may send the call once. */
    record Granted() implements IntentDecision {}

    /** The call has run; its answer is replayed. */
    record Replay(RecordedResponse response) implements IntentDecision {}

    /** Another attempt was granted and its deadline has not passed. */
    record InProgress() implements IntentDecision {}

    /** Another attempt was granted, its deadline has passed, and no answer was recorded. */
    record OutcomeUnknown() implements IntentDecision {}

    /** The key was used with another body. */
    record KeyConflict() implements IntentDecision {}
}
