package org.tanagergap.gateway.caller;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Requests that wait for the first complete view of the fleet, because this instance has just
 * started. Confined to the event loop.
 */
final class FleetWait {

    /** An instance that has just started loads the fleet view within a fraction of this time. */
    private static final Duration MAX_WAIT = Duration.ofMillis(800);

    private final RuntimeClock mClock;
    private final BooleanSupplier mHasConfiguration;
    private final Map<CallerExchange, Runnable> mWaiting = new LinkedHashMap<>();
    private boolean mFleetLoaded;

    FleetWait(RuntimeClock clock, BooleanSupplier hasConfiguration) {
        mClock = clock;
        mHasConfiguration = hasConfiguration;
    }

    /** Serves the request, at the latest after the longest wait. */
    void serveWhenLoaded(CallerExchange exchange, Runnable serve) {
        if (isLoaded()) {
            serve.run();
            return;
        }
        mWaiting.put(exchange, serve);
        mClock.schedule(MAX_WAIT, () -> serveWaiting(exchange));
    }

    /** Records that the first complete view has arrived. */
    void fleetLoaded() {
        mFleetLoaded = true;
        serveAll();
    }

    /** Serves the requests that have waited for a configuration only. */
    void configurationChanged() {
        serveAll();
    }

    /** Removes a request that has ended. */
    void remove(CallerExchange exchange) {
        mWaiting.remove(exchange);
    }

    private boolean isLoaded() {
        return mFleetLoaded && mHasConfiguration.getAsBoolean();
    }

    private void serveAll() {
        if (isLoaded()) {
            List.copyOf(mWaiting.keySet()).forEach(this::serveWaiting);
        }
    }

    private void serveWaiting(CallerExchange exchange) {
        Runnable serve = mWaiting.remove(exchange);
        if (serve != null) {
            serve.run();
        }
    }
}
