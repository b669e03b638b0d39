package org.tanagergap.state.configuration;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.Condition;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.TransactionResult;
import org.tanagergap.platform.keyvalue.Write;

/**
 * Writes an accepted configuration again that the store has lost, because it was restored from a
 * backup or because another writer has replaced the document with a malformed value. Without it the
 * store would give out the lost versions again, which instances ignore as outdated, or operators
 * could not submit. Confined to a serial executor.
 */
final class ConfigurationRepair {

    /**
     * Longest random delay. All instances notice the loss within one poll interval; most of 350 see
     * that another one has repaired it before they write.
     */
    private static final Duration MAX_DELAY = Duration.ofSeconds(2);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final KeyValueStore mStore;
    private final RuntimeClock mClock;
    private final RandomGenerator mRandom;
    private final Executor mSerial;
    private boolean mScheduled;

    ConfigurationRepair(
            KeyValueStore store, RuntimeClock clock, RandomGenerator random, Executor serial) {
        mStore = store;
        mClock = clock;
        mRandom = random;
        mSerial = serial;
    }

    /** Writes the configuration after a random delay, if the store still holds an older one. */
    void schedule(StoredConfiguration lost) {
        if (mScheduled) {
            return;
        }
        mScheduled = true;
        Duration delay = Duration.ofMillis(mRandom.nextLong(MAX_DELAY.toMillis()));
        mClock.schedule(delay, () -> mSerial.execute(() -> repair(lost)));
    }

    private void repair(StoredConfiguration lost) {
        mStore.read(ConfigurationKeys.VERSION)
                .thenComposeAsync(version -> writeIfLost(lost, version), mSerial)
                .whenCompleteAsync(
                        (written, failure) -> completed(lost, written, failure), mSerial);
    }

    private CompletableFuture<Boolean> writeIfLost(
            StoredConfiguration lost, Optional<KeyValue> version) {
        Condition versionUnchanged = unchanged(ConfigurationKeys.VERSION, version);
        if (isOlder(version, lost)) {
            return write(lost, List.of(versionUnchanged));
        }
        if (isNewer(version, lost)) {
            return CompletableFuture.completedFuture(false);
        }
        // Another writer may have replaced the document alone.
        return mStore.read(ConfigurationKeys.CURRENT)
                .thenComposeAsync(
                        current ->
                                current.filter(ConfigurationValues::isReadable).isPresent()
                                        ? CompletableFuture.completedFuture(false)
                                        : write(
                                                lost,
                                                List.of(
                                                        versionUnchanged,
                                                        unchanged(
                                                                ConfigurationKeys.CURRENT,
                                                                current))),
                        mSerial);
    }

    /**
     * Returns true if the stored version is older than the configuration. A malformed one proves no
     * loss.
     */
    static boolean isOlder(Optional<KeyValue> storedVersion, StoredConfiguration configuration) {
        if (storedVersion.isEmpty()) {
            return configuration.version() > 0;
        }
        OptionalLong stored = ConfigurationValues.parseVersion(storedVersion.get().value());
        return stored.isPresent() && stored.getAsLong() < configuration.version();
    }

    private static boolean isNewer(
            Optional<KeyValue> storedVersion, StoredConfiguration configuration) {
        return storedVersion
                .map(v -> ConfigurationValues.parseVersion(v.value()))
                .filter(v -> v.isPresent() && v.getAsLong() > configuration.version())
                .isPresent();
    }

    private static Condition unchanged(String key, Optional<KeyValue> stored) {
        return new Condition.AtRevision(key, stored.map(KeyValue::modRevision).orElse(0L));
    }

    /** The conditions fail if an operator or another instance has written in between. */
    private CompletableFuture<Boolean> write(StoredConfiguration lost, List<Condition> conditions) {
        Transaction transaction =
                new Transaction(
                        conditions,
                        List.of(
                                new Write.Put(
                                        ConfigurationKeys.CURRENT,
                                        ConfigurationValues.current(lost)),
                                new Write.Put(
                                        ConfigurationKeys.VERSION, Long.toString(lost.version()))));
        return mStore.commit(transaction).thenApply(TransactionResult::succeeded);
    }

    private void completed(StoredConfiguration lost, Boolean written, Throwable failure) {
        mScheduled = false;
        if (failure != null) {
            sLogger.atWarning().withCause(failure).log(
                    "configuration %d, which the store has lost, was not written again",
                    lost.version());
        } else if (written) {
            sLogger.atWarning().log(
                    "the store no longer holds configuration %d, which is written again",
                    lost.version());
        }
    }
}
