package org.tanagergap.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.gateway.caller.GatewayCallerServer;
import org.tanagergap.gateway.forward.UnconfirmedReleases;

/** Stops a gateway within its grace period. Confined to the event loop. */
final class GatewayShutdown {

    /**
     * Part of the grace period that is left for closing connections before the process is killed.
     */
    private static final Duration EXIT_RESERVE = Duration.ofMillis(400);

    /** Part of the reserve in which the last responses are written. */
    private static final Duration LAST_RESPONSES_TIMEOUT = Duration.ofMillis(100);

    /** Several times what an engine takes to confirm that it has released memory. */
    private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final GatewaySettings mSettings;
    private final GatewayCallerServer mCallers;
    private final UnconfirmedReleases mReleases;
    private final List<Service> mServices;

    /**
     * Creates a shutdown that has not begun.
     *
     * @param services services in the order in which they are stopped
     */
    GatewayShutdown(
            RuntimeClock clock,
            GatewaySettings settings,
            GatewayCallerServer callers,
            UnconfirmedReleases releases,
            List<Service> services) {
        mClock = clock;
        mSettings = settings;
        mCallers = callers;
        mReleases = releases;
        mServices = services;
    }

    /** Completes when the last request has ended or the grace period is over. */
    CompletableFuture<Void> begin() {
        Duration limit = mSettings.grace().minus(EXIT_RESERVE);
        mCallers.beginDrain(limit);
        sLogger.atInfo().log("draining: %d requests in flight", mCallers.requestsInFlight());
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        mClock.schedule(limit, () -> stopAfterGrace(stopped));
        mClock.schedule(
                mSettings.drain(),
                () ->
                        mCallers.stop()
                                .thenCompose(ignored -> mReleases.confirmed(RELEASE_TIMEOUT))
                                .thenCompose(ignored -> stopServices())
                                .thenAccept(stopped::complete));
        return stopped;
    }

    private void stopAfterGrace(CompletableFuture<Void> stopped) {
        if (!stopped.isDone()) {
            sLogger.atWarning().log(
                    "grace period ended with %d requests in flight", mCallers.requestsInFlight());
            mCallers.endRequests();
            mClock.schedule(LAST_RESPONSES_TIMEOUT, () -> stopped.complete(null));
        }
    }

    private CompletableFuture<Void> stopServices() {
        CompletableFuture<Void> stopped = CompletableFuture.completedFuture(null);
        for (Service service : mServices) {
            stopped = stopped.thenCompose(ignored -> service.stop());
        }
        return stopped;
    }
}
