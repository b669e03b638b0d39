package org.tanagergap.entry.caller;

import io.vertx.core.Vertx;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.cost.TokenEstimator;
import org.tanagergap.decisions.memory.BodyAdmission;
import org.tanagergap.entry.execution.RequestExecutor;
import org.tanagergap.entry.metrics.EntryMetrics;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.trace.Tracing;

/**
 * Components that all calls on the caller port share.
 *
 * @param vertx provides the event loops
 * @param clock source of time
 * @param settings settings of the caller API
 * @param executor runs requests
 * @param tokens estimates the length of prompts
 * @param metrics metrics of the entry
 * @param tracing creates spans
 * @param bytesInFlight limits the total size of request bodies in memory
 * @param bodies decides which request bodies use memory
 * @param inbound protects the connections of callers
 * @param requestsInFlight counts requests
 */
public record CallerServerContext(
        Vertx vertx,
        RuntimeClock clock,
        CallerSettings settings,
        RequestExecutor executor,
        TokenEstimator tokens,
        EntryMetrics metrics,
        Tracing tracing,
        BytesInFlight bytesInFlight,
        BodyAdmission bodies,
        InboundProtection inbound,
        RequestsInFlight requestsInFlight) {}
