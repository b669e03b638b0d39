package org.tanagergap.gateway.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.http.HttpClient;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.ConcurrentPlacements;
import org.tanagergap.decisions.fleet.DomainDelays;
import org.tanagergap.decisions.fleet.FleetLoad;
import org.tanagergap.decisions.fleet.ReservationLimits;
import org.tanagergap.decisions.fleet.UpstreamHealth;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.wire.WireFormat;
import org.tanagergap.runtime.trace.Tracing;

/**
 * Components shared by all forwarded requests.
 *
 * @param identity identity of this instance
 * @param clock source of time
 * @param client HTTP client for upstreams, which opens a connection for each call
 * @param engineAdmin client for administrative requests to engines
 * @param wire headers and message bodies of the platform
 * @param view this instance's view of the fleet
 * @param load load of each upstream
 * @param health health of each upstream, as observed in requests
 * @param placements placements of other instances that are not reported yet
 * @param delays delay to each failure domain, as observed in connections
 * @param reservationLimits longest times for which engine memory may be reserved without use
 * @param retryBudgets retries that are still allowed
 * @param quarantine requests that engines must not run, and the crashes behind it
 * @param rateLimits rate limits that upstreams advertise
 * @param unsentAttempts attempts that are placed and not sent yet
 * @param unconfirmedReleases releases of engine memory that are not confirmed yet
 * @param responseMemory limits the responses that are buffered until they are complete and written
 * @param metrics counters and histograms
 * @param tracing creates a span for each request and each attempt
 * @param announceLoad sends a load report to the peers ahead of schedule
 */
public record ForwardingContext(
        InstanceIdentity identity,
        RuntimeClock clock,
        HttpClient client,
        EngineAdminClient engineAdmin,
        WireFormat wire,
        FleetView view,
        FleetLoad load,
        UpstreamHealth health,
        ConcurrentPlacements placements,
        DomainDelays delays,
        ReservationLimits reservationLimits,
        RetryBudgets retryBudgets,
        QuarantineGate quarantine,
        RateLimitGate rateLimits,
        UnsentAttempts unsentAttempts,
        UnconfirmedReleases unconfirmedReleases,
        SharedMemoryLimit responseMemory,
        MetricRegistry metrics,
        Tracing tracing,
        Runnable announceLoad) {}
