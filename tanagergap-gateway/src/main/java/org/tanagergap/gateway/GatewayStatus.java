package org.tanagergap.gateway;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.FleetLoad;
import org.tanagergap.decisions.fleet.UpstreamHealth;
import org.tanagergap.decisions.fleet.UpstreamLoad;
import org.tanagergap.gateway.caller.GatewayCallerServer;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.gateway.forward.QuarantineGate;
import org.tanagergap.gateway.forward.RateLimitGate;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.membership.StoreSync;
import org.tanagergap.gateway.membership.Upstream;
import org.tanagergap.gateway.peer.PeerDirectory;

/**
 * Contents of the status page of a gateway.
 *
 * @param settings settings at the start
 * @param view this instance's view of the fleet
 * @param sync synchronization of the local replica of the store
 * @param directory its peers
 * @param callers its server for callers
 * @param load load of each upstream
 * @param health health of each upstream, with its suspension
 * @param quarantine prompts that engines must not run
 * @param rateLimits rate limits that upstreams advertise
 * @param clock source of time
 */
record GatewayStatus(
        GatewaySettings settings,
        FleetView view,
        StoreSync sync,
        PeerDirectory directory,
        GatewayCallerServer callers,
        FleetLoad load,
        UpstreamHealth health,
        QuarantineGate quarantine,
        RateLimitGate rateLimits,
        RuntimeClock clock) {

    JsonObject json() {
        JsonObject json =
                new JsonObject()
                        .put("name", settings.id())
                        .put("program", "tanagergap-gateway")
                        .put("failure_domain", settings.failureDomain())
                        .put("requests_in_flight", callers.requestsInFlight())
                        .put("store_revision", sync.replica().position().revision())
                        .put("store_epoch", sync.replica().position().epoch())
                        .put("store_age_ms", sync.age().toMillis())
                        .put("store_reader", sync.isReader())
                        .put("instances", directory.instanceCount());
        view.configuration()
                .map(GatewayConfiguration::version)
                .ifPresent(version -> json.put("configuration_version", version));
        JsonArray upstreams = new JsonArray();
        view.upstreams().forEach(upstream -> upstreams.add(upstream(upstream)));
        JsonObject quarantined = new JsonObject();
        quarantine.parts().forEach((part, left) -> quarantined.put(part, left.toMillis()));
        JsonObject limits = new JsonObject();
        rateLimits.limits().forEach(limits::put);
        JsonObject cold = new JsonObject();
        rateLimits.coldRemaining().forEach((id, left) -> cold.put(id, left.toMillis()));
        return json.put("upstreams", upstreams)
                .put("drained_domains", new JsonArray(List.copyOf(view.drainedDomains())))
                .put("rate_limits_per_second", limits)
                .put("cold_ms", cold)
                .put("quarantined_prompt_parts_ms", quarantined);
    }

    private JsonObject upstream(Upstream upstream) {
        long now = clock.nanoTime();
        UpstreamLoad total = load.totalLoad(upstream.id(), now);
        return new JsonObject()
                .put("id", upstream.id())
                .put("service", upstream.service())
                .put("address", upstream.address().toString())
                .put("failure_domain", upstream.failureDomain())
                .put("leaving", upstream.draining())
                .put("suspended", !health.isUsable(upstream.id(), now))
                .put("slowness", health.slowness().of(upstream.id(), now))
                .put("running", total.running())
                .put("memory_tokens", total.memoryTokens());
    }
}
