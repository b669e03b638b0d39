package org.tanagergap.state.intent;

import java.time.Duration;
import java.util.Objects;
import java.util.UUID;

/**
 * Settings of the intent log.
 *
 * @param writerId text that no other writer uses, not even an earlier run of the same program
 * @param shardCount logs per service; every writer of a service must use the same number
 * @param writeInterval least time between two writes of a shard that is not idle
 * @param confirmTimeout time within which the record of an intent must be confirmed
 * @param recordTimeout time for which a caller waits for an outcome or an abandonment to be
 *     recorded; the log goes on trying after it
 * @param retention time for which records are kept
 * @param compactionInterval least time between two compactions of a shard by this writer
 */
public record IntentLogSettings(
        String writerId,
        int shardCount,
        Duration writeInterval,
        Duration confirmTimeout,
        Duration recordTimeout,
        Duration retention,
        Duration compactionInterval) {

    /** Larger answers are recorded without their body. */
    static final int MAX_BODY_BYTES = 16 * 1024;

    /** Half of the value limit of the key-value service; leaves room for the frame of a record. */
    static final int MAX_BATCH_BYTES = 500_000;

    /** Undecided calls of a shard beyond which new ones are refused. */
    static final int MAX_PENDING = 4_096;

    public IntentLogSettings {
        Objects.requireNonNull(writerId, "writerId must not be null");
        if (shardCount <= 0) {
            throw new IllegalArgumentException("shardCount must be positive: " + shardCount);
        }
        // An intent that still waits for its confirmation must not be compacted.
        if (retention.compareTo(confirmTimeout.multipliedBy(2)) < 0) {
            throw new IllegalArgumentException(
                    "retention must be at least twice confirmTimeout: " + retention);
        }
    }

    /** Settings of a running program, with a new writer id. */
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
