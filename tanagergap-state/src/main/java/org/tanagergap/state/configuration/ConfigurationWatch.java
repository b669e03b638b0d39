package org.tanagergap.state.configuration;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.subscription.Cancellable;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.time.Duration;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.runtime.time.PeriodicTask;

/** Follows the current configuration for one subscriber and emits rising versions only. */
final class ConfigurationWatch {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    // A stalled watch goes unnoticed otherwise; 350 entries make 175 reads/s.
    private static final Duration READ_INTERVAL = Duration.ofSeconds(2);

    private final KeyValueStore mStore;
    private final MultiEmitter<? super StoredConfiguration> mEmitter;
    private final PeriodicTask mReader;
    private long mVersion;
    private boolean mWatching;
    private boolean mEnded;
    private Cancellable mWatch = () -> {};

    ConfigurationWatch(
            KeyValueStore store,
            RuntimeClock clock,
            MultiEmitter<? super StoredConfiguration> emitter) {
        mStore = store;
        mEmitter = emitter;
        mReader = new PeriodicTask(clock, READ_INTERVAL, this::refresh);
    }

    void start() {
        mEmitter.onTermination(this::end);
        refresh();
        mReader.start();
    }

    /** Opens the watch when there is none, then reads, so that no change falls in between. */
    private void refresh() {
        if (openWatch()) {
            Cancellable watch =
                    mStore.watch(ConfigurationKeys.CURRENT)
                            .subscribe()
                            .with(this::accept, this::watchFailed, () -> watchFailed(null));
            keep(watch);
        }
        mStore.read(ConfigurationKeys.CURRENT)
                .whenComplete(
                        (current, failure) -> {
                            if (failure == null) {
                                current.ifPresent(this::accept);
                            } else {
                                sLogger.atFine().withCause(failure).log("read failed");
                            }
                        });
    }

    private synchronized boolean openWatch() {
        boolean open = !mWatching && !mEnded;
        mWatching |= open;
        return open;
    }

    private void keep(Cancellable watch) {
        synchronized (this) {
            if (!mEnded) {
                mWatch = watch;
                return;
            }
        }
        watch.cancel();
    }

    /** The next periodic read opens the watch again, which bounds the rate of attempts. */
    private synchronized void watchFailed(Throwable failure) {
        mWatching = false;
        sLogger.atFine().withCause(failure).log("watch of the configuration ended");
    }

    /** Emits under the lock of this object, so that versions reach the subscriber in order. */
    private synchronized void accept(KeyValue value) {
        if (mEnded || value.value().isEmpty()) {
            return;
        }
        StoredConfiguration configuration;
        try {
            configuration = ConfigurationValues.parseCurrent(value.value());
        } catch (IllegalArgumentException | IllegalStateException e) {
            sLogger.atWarning().withCause(e).log("the stored configuration is unreadable");
            return;
        }
        if (configuration.version() > mVersion) {
            mVersion = configuration.version();
            mEmitter.emit(configuration);
        }
    }

    private void end() {
        Cancellable watch;
        synchronized (this) {
            mEnded = true;
            watch = mWatch;
        }
        mReader.stop();
        watch.cancel();
    }
}
