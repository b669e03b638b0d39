package org.tanagergap.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.runtime.time.PeriodicTask;
import sun.misc.Signal;

/** Reloads the settings on SIGHUP and periodically, since a file may change without a signal. */
final class SettingsWatch implements Service {

    private static final String RELOAD_SIGNAL = "HUP";
    private static final Duration CHECK_INTERVAL = Duration.ofSeconds(3);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ReloadableSettings mSettings;
    private final PeriodicTask mCheck;

    SettingsWatch(RuntimeClock clock, ReloadableSettings settings) {
        mSettings = settings;
        mCheck = new PeriodicTask(clock, CHECK_INTERVAL, settings::reloadIfChanged);
    }

    /** Reloads the settings on each SIGHUP from now on, which would end the process otherwise. */
    void handleSignal() {
        try {
            Signal.handle(new Signal(RELOAD_SIGNAL), ignored -> mSettings.reload());
        } catch (IllegalArgumentException e) {
            sLogger.atWarning().withCause(e).log(
                    "SIGHUP cannot be handled, settings are only checked periodically");
        }
    }

    @Override
    public CompletableFuture<Void> start() {
        return mCheck.start();
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mCheck.stop();
    }
}
