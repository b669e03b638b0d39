package org.tanagergap.state.intent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.request.AttemptId;

/**
 * Write-ahead log of non-idempotent calls. It grants each idempotency key to one attempt at a time
 * and replays the recorded response to repeated calls.
 */
public interface IntentLog {

    /**
     * Requests permission to send a call. Fails with a {@code RequestFailure} with code {@code
     * UNAVAILABLE} and {@code NOT_RUN} if the record could not be confirmed in time.
     *
     * @param bodyHash hash of method, path and body
     * @param timeToDeadline time until the call must have ended
     */
    CompletableFuture<IntentDecision> begin(
            IntentKey key, String bodyHash, AttemptId attempt, Duration timeToDeadline);

    /** Records the response to a call that was granted. */
    CompletableFuture<Void> recordOutcome(
            IntentKey key, AttemptId attempt, RecordedResponse response);

    /** Releases the key of a granted call that has not been sent. */
    CompletableFuture<Void> abandon(IntentKey key, AttemptId attempt);
}
