package org.tanagergap.gateway;

import java.time.Duration;
import java.util.List;
import org.tanagergap.decisions.fleet.ReservationLimits;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Settings of the gateway.
 *
 * @param id unique name of this instance
 * @param failureDomain failure domain in which it runs
 * @param listen address for callers
 * @param readyListen address of the readiness endpoint for the load balancer
 * @param peerListen address for peers, over TCP and UDP
 * @param keyValue address of the platform's key-value service
 * @param seeds peers to contact while the store is unavailable
 * @param drain time at shutdown between reporting unready and closing idle connections
 * @param grace time at shutdown after which the process is killed
 * @param reservationLimits longest times for which engine memory may be reserved without use
 * @param maxUseAfterLeaving time after which an upstream that leaves receives no new requests
 * @param retryBudget retries that all instances together may make
 * @param coldRate requests that cold upstreams may receive from all instances together
 * @param inbound limits on the connections and request heads of clients
 */
public record GatewaySettings(
        String id,
        String failureDomain,
        HostPort listen,
        HostPort readyListen,
        HostPort peerListen,
        HostPort keyValue,
        List<HostPort> seeds,
        Duration drain,
        Duration grace,
        ReservationLimits reservationLimits,
        Duration maxUseAfterLeaving,
        RetryBudgetSettings retryBudget,
        ColdRateSettings coldRate,
        InboundSettings inbound) {

    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }
}
