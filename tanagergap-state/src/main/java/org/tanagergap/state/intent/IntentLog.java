package org.tanagergap.state.intent;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.request.AttemptId;

/** Records of non-idempotent calls, written before the call is sent. */
public interface IntentLog {

    /**
     * Asks for the right to send a call. Fails with a {@code RequestFailure} with code {@code
     * UNAVAILABLE} and {@code NOT_RUN} when the record could not be confirmed in time.
     *
     * @param bodyHash hash of method, path and body
     * @param timeLeft time until the call must have finished
     */
    CompletableFuture<IntentDecision> begin(
            IntentKey key, String bodyHash, AttemptId attempt, Duration timeLeft);

    /** Records the answer to a call that was granted. */
    CompletableFuture<Void> recordOutcome(
            IntentKey key, AttemptId attempt, RecordedResponse answer);

    /** Frees the key of a granted call that has certainly not been sent. */
    CompletableFuture<Void> abandon(IntentKey key, AttemptId attempt);
}
