package org.tanagergap.entry.execution;

import io.vertx.core.Vertx;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.retry.RetryBudget;
import org.tanagergap.decisions.retry.RetryPolicy;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.entry.agent.AgentActivity;
import org.tanagergap.entry.agent.AgentClients;
import org.tanagergap.entry.agent.HintReader;
import org.tanagergap.entry.metrics.EntryMetrics;
import org.tanagergap.runtime.trace.Tracing;

/**
 * Components that all requests of an entry share.
 *
 * @param vertx provides the event loops
 * @param clock source of time
 * @param router chooses agents
 * @param clients connections to agents
 * @param activity time of the last message of each agent
 * @param hints converts load hints and caches prefix hashes
 * @param retryPolicy decides whether a failed request is retried
 * @param retryBudget limits the share of retries
 * @param metrics metrics of the entry
 * @param tracing creates spans
 */
public record ExecutorContext(
        Vertx vertx,
        RuntimeClock clock,
        RequestRouter router,
        AgentClients clients,
        AgentActivity activity,
        HintReader hints,
        RetryPolicy retryPolicy,
        RetryBudget retryBudget,
        EntryMetrics metrics,
        Tracing tracing) {}
