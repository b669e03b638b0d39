package org.tanagergap.gateway;

import java.time.Duration;
import org.tanagergap.decisions.fleet.UpstreamHealth;
import org.tanagergap.gateway.caller.GatewayCallerServer;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.gateway.forward.Forwarder;
import org.tanagergap.gateway.forward.RateLimitGate;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.membership.Upstream;

/**
 * Forwards changes of the fleet view to the components that depend on them.
 *
 * @param forwarder forwarder of requests
 * @param health health of upstreams
 * @param rateLimits rate limits of upstreams
 * @param callers server for callers
 */
record GatewayFleetListener(
        Forwarder forwarder,
        UpstreamHealth health,
        RateLimitGate rateLimits,
        GatewayCallerServer callers)
        implements FleetView.Listener {

    @Override
    public void upstreamAvailable(Upstream upstream) {
        health.remove(upstream.id());
        forwarder.fleetChanged();
    }

    @Override
    public void upstreamUnavailable(Upstream upstream) {
        rateLimits.remove(upstream);
        // Requests that were sent there continue; all others go to other upstreams.
        forwarder.upstreamUnavailable(upstream);
    }

    @Override
    public void upstreamDrained(Upstream upstream) {
        // It still runs, so its rate limit and its health stay known.
        forwarder.upstreamUnavailable(upstream);
    }

    @Override
    public void upstreamDrainEnded(Upstream upstream) {
        forwarder.fleetChanged();
    }

    @Override
    public void coldPeriodReported(Upstream upstream, Duration remaining) {
        rateLimits.coldObserved(upstream, remaining, false);
    }

    @Override
    public void configurationChanged(GatewayConfiguration configuration) {
        rateLimits.configurationChanged();
        callers.configurationChanged();
        forwarder.fleetChanged();
    }
}
