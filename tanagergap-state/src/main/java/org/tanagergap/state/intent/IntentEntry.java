package org.tanagergap.state.intent;

import java.util.OptionalLong;
import org.tanagergap.api.request.AttemptId;

/**
 * State of a key after replay.
 *
 * @param bodyHash hash of the call's body
 * @param attempt attempt that may send the call
 * @param deadlineNanos monotonic time after which the call has certainly ended
 * @param number number of the record that holds the intent
 * @param outcomeNumber number of the record that holds the answer; the answer itself stays in the
 *     key-value service, because a day of answers would not fit into a small process
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
