package org.tanagergap.entry.configuration;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.tanagergap.api.finding.InvalidInputException;
import org.tanagergap.api.lock.LockRank;
import org.tanagergap.api.lock.OrderedLock;
import org.tanagergap.state.configuration.StoredConfiguration;

/** The configuration that is in effect in this process; its version never decreases. */
public final class ConfigurationView {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final DocumentReader mReader;
    private final OrderedLock mLock = new OrderedLock(LockRank.CONFIGURATION_VIEW);
    private final List<Consumer<ConfigurationSnapshot>> mListeners = new CopyOnWriteArrayList<>();
    private volatile ConfigurationSnapshot mSnapshot = ConfigurationSnapshot.EMPTY;
    private volatile boolean mPresent;

    public ConfigurationView(DocumentReader reader) {
        mReader = Objects.requireNonNull(reader, "reader must not be null");
    }

    /** Configuration in effect. */
    public ConfigurationSnapshot current() {
        return mSnapshot;
    }

    /**
     * Returns true once a configuration is in effect and all listeners have processed it; until
     * then no agent is registered and every request is refused.
     */
    public boolean isPresent() {
        return mPresent;
    }

    /** Adds a listener that is called after each change, outside the view's lock. */
    public void addListener(Consumer<ConfigurationSnapshot> listener) {
        mListeners.add(Objects.requireNonNull(listener, "listener must not be null"));
    }

    /** Applies a configuration atomically if its version is higher than the one in effect. */
    public void offer(StoredConfiguration stored) {
        if (stored.version() <= mSnapshot.version()) {
            return;
        }
        ConfigurationSnapshot next;
        try {
            next =
                    new ConfigurationSnapshot(
                            mReader.read(stored.document(), stored.version()), stored.document());
        } catch (InvalidInputException e) {
            sLogger.atSevere().withCause(e).log(
                    "configuration version %d is not valid and was not applied", stored.version());
            return;
        }
        boolean applied =
                mLock.call(
                        () -> {
                            if (next.version() <= mSnapshot.version()) {
                                return false;
                            }
                            mSnapshot = next;
                            return true;
                        });
        if (applied) {
            sLogger.atInfo().log("configuration version %d is in effect", next.version());
            mListeners.forEach(listener -> listener.accept(next));
            mPresent = true;
        }
    }
}
