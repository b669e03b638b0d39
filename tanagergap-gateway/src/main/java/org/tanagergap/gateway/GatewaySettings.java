package org.tanagergap.gateway;

import java.time.Duration;
import java.util.List;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Settings of the gateway.
 *
 * @param id unique name of this instance
 * @param failureDomain failure domain in which it stands
 * @param listen address for callers
 * @param readyListen address for the balancer's question whether this instance is ready
 * @param peerListen address for peers, over TCP and UDP
 * @param keyValue address of the platform's key-value service
 * @param seeds peers that are asked while the store is out of reach
 * @param drain time between the change of readiness and the end of idle connections at shutdown
 * @param grace time after which the process is killed at shutdown
 * @param retryBudget retries that all instances together may make
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
        RetryBudgetSettings retryBudget) {

    public GatewaySettings {
        seeds = List.copyOf(seeds);
    }
}
