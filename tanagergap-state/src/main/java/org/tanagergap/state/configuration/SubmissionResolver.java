package org.tanagergap.state.configuration;

import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.Condition;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.Write;

/**
 * Determines whether a submission was accepted, by trying to create its nonce's key as abandoned.
 * If that succeeds, the submission can no longer take effect; otherwise the existing key holds the
 * outcome.
 */
final class SubmissionResolver {

    private static final int MAX_ATTEMPTS = 5;
    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final KeyValueStore mStore;
    private final RuntimeClock mClock;

    SubmissionResolver(KeyValueStore store, RuntimeClock clock) {
        mStore = store;
        mClock = clock;
    }

    CompletableFuture<SubmitResult> resolve(String nonce) {
        CompletableFuture<SubmitResult> result = new CompletableFuture<>();
        resolveOnce(nonce, 1, result);
        return result;
    }

    private void resolveOnce(String nonce, int attempt, CompletableFuture<SubmitResult> result) {
        String key = ConfigurationKeys.submission(nonce);
        mStore.grantLease(KeyValueConfigurationStore.OUTCOME_RETENTION)
                .thenCompose(lease -> mStore.commit(abandonment(key, lease)))
                .thenCompose(ignored -> mStore.read(key))
                .thenApply(value -> toResult(value.map(KeyValue::value).orElseThrow()))
                .whenComplete(
                        (outcome, failure) -> {
                            if (failure == null) {
                                result.complete(outcome);
                            } else if (attempt < MAX_ATTEMPTS) {
                                mClock.schedule(
                                        RETRY_DELAY, () -> resolveOnce(nonce, attempt + 1, result));
                            } else {
                                String reason = "the key-value service is unavailable: " + failure;
                                result.complete(new SubmitResult.Unresolved(nonce, reason));
                            }
                        });
    }

    private static Transaction abandonment(String key, long lease) {
        return new Transaction(
                List.of(new Condition.Absent(key)),
                List.of(
                        new Write.Put(
                                key, ConfigurationValues.abandoned(), OptionalLong.of(lease))));
    }

    private static SubmitResult toResult(String value) {
        return ConfigurationValues.parseSubmission(value)
                .<SubmitResult>map(SubmitResult.Accepted::new)
                .orElseGet(
                        () ->
                                new SubmitResult.Rejected(
                                        "the submission was not confirmed and was withdrawn"));
    }
}
