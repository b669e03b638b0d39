package org.tanagergap.state.intent;

import java.time.Duration;
import java.util.Objects;
import java.util.UUID;

/**
 * Settings of the intent log.
 *
 * @param writerId unique identifier of this writer; differs between runs of the same program
 * @param shardCount number of shards per service; the same for all writers of a service
 * @param writeInterval minimum time between two writes of a shard
 * @param confirmTimeout maximum time until the record of an intent is confirmed
 * @param recordTimeout time after which recording an outcome or an abandonment fails for the
 *     caller; the log keeps retrying in the background
 * @param retention time for which records are kept
 * @param compactionInterval minimum time between two compactions of a shard by this writer
 */
public record IntentLogSettings(
        String writerId,
        int shardCount,
        Duration writeInterval,
        Duration confirmTimeout,
        Duration recordTimeout,
        Duration retention,
        Duration compactionInterval) {

    /** Responses with a larger body are recorded without it. */
    static final int MAX_BODY_BYTES = 16 * 1024;

    /** Half of the value limit of the key-value store; leaves room for the rest of a record. */
    static final int MAX_BATCH_BYTES = 500_000;

    /** Pending events of a shard beyond which new intents are refused. */
    static final int MAX_PENDING = 4_096;

    public IntentLogSettings {
        Objects.requireNonNull(writerId, "writerId must not be null");
        if (shardCount <= 0) {
            throw new IllegalArgumentException("shardCount must be positive: " + shardCount);
        }
        // Compaction must not delete an intent that has not been confirmed yet.
        if (retention.compareTo(confirmTimeout.multipliedBy(2)) < 0) {
            throw new IllegalArgumentException(
                    "retention must be at least twice confirmTimeout: " + retention);
        }
    }

    /** Creates the default settings with a new writer id. */
    public static IntentLogSettings defaults() {
        return new IntentLogSettings(
                UUID.randomUUID().toString(),
                8,
                Duration.ofMillis(40),
                Duration.ofSeconds(2),
                Duration.ofSeconds(10),
                Duration.ofHours(24),
                Duration.ofMinutes(10));
    }
}
