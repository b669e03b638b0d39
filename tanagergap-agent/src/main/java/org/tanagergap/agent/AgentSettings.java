package org.tanagergap.agent;

import java.time.Duration;
import java.util.Optional;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.runtime.tls.TlsSettings;

/**
 * Settings of an agent.
 *
 * @param listen address for the gRPC calls of entries
 * @param name name of the upstream
 * @param failureDomain failure domain of the upstream
 * @param upstreamUrl base URL of the upstream, without a final slash
 * @param kind kind of the upstream
 * @param service name of the service that the upstream serves
 * @param memoryTokens memory of the engine, in tokens, until a configuration is received
 * @param concurrency maximum number of calls in flight on a plain service
 * @param keyValue address of the key-value service; present for plain services
 * @param loadInterval time between two polls of the engine's load
 * @param tls TLS settings for the calls of entries; empty for clear text
 * @param drainTimeout maximum time that running work has to finish at shutdown
 */
public record AgentSettings(
        HostPort listen,
        String name,
        String failureDomain,
        String upstreamUrl,
        UpstreamKind kind,
        String service,
        long memoryTokens,
        int concurrency,
        Optional<HostPort> keyValue,
        Duration loadInterval,
        Optional<TlsSettings> tls,
        Duration drainTimeout) {}
