package org.tanagergap.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Objects;
import java.util.function.Supplier;
import org.tanagergap.api.finding.InvalidInputException;

/**
 * Settings that are reloaded while the program runs. The address of the key-value service takes
 * effect at once; other changes need a restart.
 */
public final class ReloadableSettings {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final GatewaySettings mAtStart;
    private final Supplier<GatewaySettings> mReader;
    private volatile GatewaySettings mSettings;
    private String mLastFinding = "";

    /**
     * Creates settings.
     *
     * @param reader reads the settings; throws {@link InvalidInputException} with all findings
     */
    public ReloadableSettings(GatewaySettings atStart, Supplier<GatewaySettings> reader) {
        mAtStart = Objects.requireNonNull(atStart, "atStart must not be null");
        mReader = Objects.requireNonNull(reader, "reader must not be null");
        mSettings = atStart;
    }

    /** Settings in effect. */
    public GatewaySettings settings() {
        return mSettings;
    }

    /** Reloads the settings; the last valid ones stay in effect if there are findings. */
    public synchronized void reload() {
        if (!readAgain()) {
            sLogger.atInfo().log("settings reloaded: nothing has changed");
        }
    }

    /** Reloads the settings and writes a log line only if they have changed. */
    public synchronized void reloadIfChanged() {
        readAgain();
    }

    /**
     * Applies changed settings.
     *
     * @return true if the settings have changed or are not valid
     */
    private boolean readAgain() {
        GatewaySettings settings;
        try {
            settings = mReader.get();
        } catch (InvalidInputException e) {
            if (!e.getMessage().equals(mLastFinding)) {
                sLogger.atWarning().log(
                        "changed settings are invalid and are ignored: %s", e.getMessage());
            }
            mLastFinding = e.getMessage();
            return true;
        }
        mLastFinding = "";
        if (settings.equals(mSettings)) {
            return false;
        }
        mSettings = settings;
        boolean restart = !settings.equals(withKeyValueOf(settings));
        sLogger.atInfo().log(
                "settings have changed: key-value service at %s%s",
                settings.keyValue(),
                restart ? "; other changes take effect at the next start" : "");
        return true;
    }

    private GatewaySettings withKeyValueOf(GatewaySettings settings) {
        return new GatewaySettings(
                mAtStart.id(),
                mAtStart.failureDomain(),
                mAtStart.listen(),
                mAtStart.readyListen(),
                mAtStart.peerListen(),
                settings.keyValue(),
                mAtStart.seeds(),
                mAtStart.drain(),
                mAtStart.grace(),
                mAtStart.reservationLimits(),
                mAtStart.maxUseAfterLeaving(),
                mAtStart.retryBudget(),
                mAtStart.coldRate(),
                mAtStart.inbound());
    }
}
