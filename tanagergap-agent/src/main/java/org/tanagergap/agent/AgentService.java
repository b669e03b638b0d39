package org.tanagergap.agent;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.tanagergap.agent.engine.HttpModelEngine;
import org.tanagergap.agent.plain.HttpPlainUpstream;
import org.tanagergap.agent.server.GrpcEndpoint;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.decisions.scheduling.FairUpstreamScheduler;
import org.tanagergap.decisions.scheduling.SchedulerSettings;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.protocol.v1.StatusReply;
import org.tanagergap.runtime.admin.AdminServer;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.InboundBudget;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.metrics.MetricsText;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.tls.TlsReloader;

/** Agent with its network interfaces. */
public final class AgentService implements Service {

    private final Vertx mVertx;
    private final Context mContext;
    private final AgentCore mCore;
    private final TlsReloader mTls;
    private final GrpcEndpoint mGrpc;
    private final AdminServer mAdmin;

    public AgentService(AgentSettings settings, ProgramContext program) {
        mVertx = program.vertx();
        mContext = mVertx.getOrCreateContext();
        // All calls run on one event loop, so that attempts need no locks.
        Executor loop = task -> mContext.runOnContext(ignored -> task.run());
        UpstreamScheduler scheduler =
                new FairUpstreamScheduler(program.clock(), SchedulerSettings.defaults());
        mCore =
                settings.kind() == UpstreamKind.MODEL
                        ? AgentCore.ofEngine(
                                settings,
                                loop,
                                program.clock(),
                                program.metrics(),
                                program.tracing(),
                                scheduler,
                                new HttpModelEngine(mVertx, settings.upstreamUrl()))
                        : AgentCore.ofPlainService(
                                settings,
                                loop,
                                program.clock(),
                                program.metrics(),
                                program.tracing(),
                                scheduler,
                                new HttpPlainUpstream(
                                        mVertx,
                                        settings.upstreamUrl(),
                                        settings.concurrency(),
                                        SharedMemoryLimit.ofHeap()),
                                IntentLogs.of(settings, program));
        InboundBudget budget = InboundBudget.ofProcess();
        InboundProtection inbound =
                budget.protection(program.clock(), program.accepted(), program.metrics());
        mTls = new TlsReloader(mVertx, program.clock(), settings.tls());
        mGrpc =
                new GrpcEndpoint(
                        mVertx,
                        settings.listen(),
                        mCore.rpcHandler(),
                        mTls,
                        inbound,
                        budget.calls());
        mAdmin =
                new AdminServer(
                        mVertx,
                        program.adminListen(),
                        new MetricsText(program.metrics()),
                        mCore.readiness()::acceptsWork,
                        this::status,
                        Optional.of(inbound));
    }

    @Override
    public CompletableFuture<Void> start() {
        return Futures.onContext(
                mContext,
                () ->
                        mCore.start()
                                .thenCompose(ignored -> mGrpc.start())
                                .thenCompose(ignored -> mAdmin.start())
                                .thenCompose(ignored -> mTls.start()));
    }

    @Override
    public CompletableFuture<Void> stop() {
        return Futures.onContext(
                mContext,
                () ->
                        mCore.stop()
                                .thenCompose(ignored -> mTls.stop())
                                .thenCompose(ignored -> mGrpc.stop())
                                .thenCompose(ignored -> mAdmin.stop()));
    }

    /** Port of the gRPC server. */
    public int port() {
        return mGrpc.port();
    }

    /** Port of the admin server. */
    public int adminPort() {
        return mAdmin.port();
    }

    private JsonObject status() {
        StatusReply status = mCore.rpcHandler().status();
        Hint hint = status.getHint();
        JsonArray ranks = new JsonArray();
        hint.getRanksList()
                .forEach(
                        r ->
                                ranks.add(
                                        new JsonObject()
                                                .put("rank", r.getRank())
                                                .put("queued", r.getQueued())
                                                .put("queued_tokens", r.getQueuedTokens())));
        return new JsonObject()
                .put("program", "tanagergap-agent")
                .put("name", status.getAgentId())
                .put("agent_id", status.getAgentId())
                .put("upstream", status.getUpstream())
                .put("failure_domain", status.getFailureDomain())
                .put("configuration_version", status.getConfigurationVersion())
                .put("draining", hint.getDraining())
                .put("upstream_ready", hint.getUpstreamReady())
                .put("running", status.getRunning())
                .put("reserved_tokens", status.getReservedTokens())
                .put("memory_tokens_total", hint.getMemoryTokensTotal())
                .put("memory_tokens_free", hint.getMemoryTokensFree())
                .put("prefill_tokens_queued", hint.getPrefillTokensQueued())
                .put("prefill_tokens_per_second", hint.getPrefillTokensPerSecond())
                .put("load_report_age_ms", hint.getLoadReportAgeMs())
                .put("ranks", ranks);
    }
}
