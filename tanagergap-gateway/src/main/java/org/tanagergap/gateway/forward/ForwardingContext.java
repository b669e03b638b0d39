package org.tanagergap.gateway.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.http.HttpClient;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.FleetLoad;
import org.tanagergap.decisions.fleet.UpstreamTrust;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.wire.WireFormat;
import org.tanagergap.runtime.trace.Tracing;

/**
 * What the forwarding of all requests shares.
 *
 * @param identity this instance
 * @param clock source of time
 * @param client calls upstreams, on a new connection each
 * @param wire header names and bodies of the platform
 * @param view fleet as this instance knows it
 * @param load work at each upstream
 * @param trust what requests have shown of each upstream
 * @param budget retries that are still allowed
 * @param metrics counters and histograms
 * @param tracing creates a span for each request and each attempt
 * @param announce tells peers at once of work that they should avoid
 */
public record ForwardingContext(
        InstanceIdentity identity,
        RuntimeClock clock,
        HttpClient client,
        WireFormat wire,
        FleetView view,
        FleetLoad load,
        UpstreamTrust health,
        RetryBudgets retryBudgets,
        MetricRegistry metrics,
        Tracing tracing,
        Runnable announceLoad) {}
