package org.tanagergap.state.intent;

import java.util.OptionalLong;
import org.tanagergap.api.request.AttemptId;

/**
 * State of an idempotency key after the log has been applied.
 *
 * @param bodyHash hash of the call's method, path and body
 * @param attempt attempt that owns the key and may send the call
 * @param deadlineNanos monotonic time by which the call must have ended
 * @param number number of the record that contains the intent
 * @param outcomeNumber number of the record that contains the response; the response itself stays
 *     in the key-value store, because the responses of a day would not fit into a small process
 */
record IntentEntry(
        String bodyHash,
        AttemptId attempt,
        long deadlineNanos,
        long number,
        OptionalLong outcomeNumber) {

    boolean ownedBy(AttemptId other) {
        return attempt.equals(other);
    }

    IntentEntry withOutcome(long outcomeRecord) {
        return new IntentEntry(
                bodyHash, attempt, deadlineNanos, number, OptionalLong.of(outcomeRecord));
    }
}
