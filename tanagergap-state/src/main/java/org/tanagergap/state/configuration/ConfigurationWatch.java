package org.tanagergap.state.configuration;

import com.google.common.flogger.FluentLogger;
import com.google.common.util.concurrent.MoreExecutors;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.runtime.log.MalformedItemLog;
import org.tanagergap.runtime.time.PeriodicTask;

/**
 * Watches the current configuration for one subscriber and emits only newer versions. All mutable
 * state is confined to a serial executor, so versions reach the subscriber in order.
 */
final class ConfigurationWatch {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    // Polling finds changes that a stalled watch does not report. 350 entries cause 175 reads/s.
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

    /** Lets at least one interval pass, as a subscriber needs time to apply a configuration. */
    private static final int POLLS_UNTIL_REJECTED = 2;

    private final KeyValueStore mStore;
    private final MultiEmitter<? super StoredConfiguration> mEmitter;
    private final Predicate<StoredConfiguration> mInEffect;
    private final PeriodicTask mPollTask;
    private final Executor mSerial =
            MoreExecutors.newSequentialExecutor(MoreExecutors.directExecutor());
    private final ConfigurationRepair mRepair;
    private final MalformedItemLog mMalformed = new MalformedItemLog("key-value service");
    private Optional<StoredConfiguration> mNewest = Optional.empty();

    /** Version for which the document was read last. */
    private Optional<KeyValue> mReadFor = Optional.empty();

    /** Last configuration that was in effect when a newer one was read. */
    private Optional<StoredConfiguration> mReplaced = Optional.empty();

    private int mPollsSinceNewest;
    private boolean mWatching;
    private boolean mCancelled;
    private Cancellable mWatch = () -> {};

    ConfigurationWatch(
            KeyValueStore store,
            RuntimeClock clock,
            MultiEmitter<? super StoredConfiguration> emitter,
            Predicate<StoredConfiguration> inEffect) {
        mStore = store;
        mInEffect = inEffect;
        mEmitter = emitter;
        mRepair = new ConfigurationRepair(store, clock, new Random(), mSerial);
        mPollTask = new PeriodicTask(clock, POLL_INTERVAL, () -> mSerial.execute(this::refresh));
    }

    void start() {
        mEmitter.onTermination(() -> mSerial.execute(this::terminate));
        mSerial.execute(this::refresh);
        mPollTask.start();
    }

    /** Opens the watch if none is open, then reads, so no change in between is missed. */
    private void refresh() {
        if (mCancelled) {
            return;
        }
        if (!mWatching) {
            mWatching = true;
            mWatch =
                    mStore.watch(ConfigurationKeys.CURRENT)
                            .subscribe()
                            .with(
                                    value -> mSerial.execute(() -> accept(value)),
                                    failure -> mSerial.execute(() -> watchEnded(failure)),
                                    () -> mSerial.execute(() -> watchEnded(null)));
        }
        mPollsSinceNewest++;
        mStore.read(ConfigurationKeys.VERSION)
                .thenComposeAsync(this::readIfNewer, mSerial)
                .whenCompleteAsync(this::acceptRead, mSerial);
    }

    /** Reads the document, which can be 1 MB long, only if the stored version is newer. */
    private CompletableFuture<Optional<KeyValue>> readIfNewer(Optional<KeyValue> version) {
        mNewest.filter(newest -> ConfigurationRepair.isOlder(version, newest))
                .ifPresent(this::repairOrForget);
        if (version.filter(this::mayBeNewer).isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        KeyValue read = version.get();
        return mStore.read(ConfigurationKeys.CURRENT)
                .thenApplyAsync(
                        current -> {
                            mReadFor = Optional.of(read);
                            return current;
                        },
                        mSerial);
    }

    /** Another writer may have stored a document that the subscriber has rejected. */
    private void repairOrForget(StoredConfiguration newest) {
        if (mInEffect.test(newest)) {
            mRepair.schedule(newest);
        } else if (mPollsSinceNewest >= POLLS_UNTIL_REJECTED) {
            sLogger.atWarning().log(
                    "the store has replaced configuration %d, which is not in effect",
                    newest.version());
            mNewest = mReplaced;
        }
    }

    /**
     * A malformed version may belong to a newer configuration. The document is read once for each
     * change of the version, because both are written in one transaction.
     */
    private boolean mayBeNewer(KeyValue version) {
        if (mReadFor.filter(version::equals).isPresent()) {
            return false;
        }
        OptionalLong number = ConfigurationValues.parseVersion(version.value());
        if (number.isEmpty()) {
            mMalformed.skipped(version.key(), "it is not a version: " + version.value());
        }
        return number.isEmpty() || number.getAsLong() > newestVersion();
    }

    private void acceptRead(Optional<KeyValue> current, Throwable failure) {
        if (failure == null) {
            current.ifPresent(this::accept);
        } else {
            sLogger.atFine().withCause(failure).log("the configuration could not be read");
        }
    }

    /** Leaves reopening the watch to the next periodic read, which limits the rate of attempts. */
    private void watchEnded(Throwable failure) {
        mWatching = false;
        sLogger.atFine().withCause(failure).log("watch of the configuration ended");
    }

    private void accept(KeyValue value) {
        if (mCancelled) {
            return;
        }
        StoredConfiguration configuration;
        try {
            configuration = ConfigurationValues.parseCurrent(value.value());
        } catch (IllegalStateException e) {
            mMalformed.skipped(value.key() + " at revision " + value.modRevision(), e.getMessage());
            mNewest.filter(mInEffect).or(() -> mReplaced).ifPresent(mRepair::schedule);
            return;
        }
        if (configuration.version() > newestVersion()) {
            mReplaced = mNewest.filter(mInEffect).or(() -> mReplaced);
            mNewest = Optional.of(configuration);
            mPollsSinceNewest = 0;
            mEmitter.emit(configuration);
        }
    }

    private long newestVersion() {
        return mNewest.map(StoredConfiguration::version).orElse(0L);
    }

    private void terminate() {
        mCancelled = true;
        mPollTask.stop();
        mWatch.cancel();
    }
}
