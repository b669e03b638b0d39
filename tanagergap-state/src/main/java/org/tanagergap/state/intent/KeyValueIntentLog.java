package org.tanagergap.state.intent;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.KeyValueStore;

/** Intent log backed by a key-value store, sharded by idempotency key. */
public final class KeyValueIntentLog implements IntentLog {

    private final KeyValueStore mStore;
    private final RuntimeClock mClock;
    private final IntentLogSettings mSettings;
    private final Map<ShardKeys, ShardLog> mShards = new ConcurrentHashMap<>();

    public KeyValueIntentLog(KeyValueStore store, RuntimeClock clock, IntentLogSettings settings) {
        mStore = Objects.requireNonNull(store, "store must not be null");
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mSettings = Objects.requireNonNull(settings, "settings must not be null");
    }

    @Override
    public CompletableFuture<IntentDecision> begin(
            IntentKey key, String bodyHash, AttemptId attempt, Duration timeToDeadline) {
        Objects.requireNonNull(key, "key must not be null");
        Objects.requireNonNull(bodyHash, "bodyHash must not be null");
        Objects.requireNonNull(attempt, "attempt must not be null");
        if (timeToDeadline.isNegative() || timeToDeadline.isZero()) {
            return CompletableFuture.failedFuture(
                    RequestFailure.notRun(
                            FailureCode.DEADLINE_EXCEEDED, "the deadline has passed"));
        }
        Duration timeout = min(timeToDeadline, mSettings.confirmTimeout());
        return shard(key)
                .begin(
                        new IntentEvent.Intent(key, bodyHash, attempt, timeToDeadline.toMillis()),
                        timeout);
    }

    @Override
    public CompletableFuture<Void> recordOutcome(
            IntentKey key, AttemptId attempt, RecordedResponse response) {
        Objects.requireNonNull(key, "key must not be null");
        Objects.requireNonNull(attempt, "attempt must not be null");
        Objects.requireNonNull(response, "response must not be null");
        return shard(key).record(new IntentEvent.Outcome(key, attempt, withinLimit(response)));
    }

    @Override
    public CompletableFuture<Void> abandon(IntentKey key, AttemptId attempt) {
        Objects.requireNonNull(key, "key must not be null");
        Objects.requireNonNull(attempt, "attempt must not be null");
        return shard(key).record(new IntentEvent.Abandonment(key, attempt));
    }

    private ShardLog shard(IntentKey key) {
        return mShards.computeIfAbsent(
                ShardKeys.of(key, mSettings.shardCount()),
                keys -> new ShardLog(keys, mStore, mClock, mSettings));
    }

    private static RecordedResponse withinLimit(RecordedResponse response) {
        boolean tooLarge =
                response.body()
                        .map(body -> body.getBytes(StandardCharsets.UTF_8).length)
                        .filter(bytes -> bytes > IntentLogSettings.MAX_BODY_BYTES)
                        .isPresent();
        return tooLarge
                ? new RecordedResponse(response.status(), response.contentType(), Optional.empty())
                : response;
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) <= 0 ? a : b;
    }
}
