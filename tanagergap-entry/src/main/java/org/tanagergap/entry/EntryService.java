package org.tanagergap.entry;

import com.codahale.metrics.Gauge;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.decisions.retry.RetryPolicy;
import org.tanagergap.entry.agent.AgentActivity;
import org.tanagergap.entry.agent.AgentClients;
import org.tanagergap.entry.agent.HintReader;
import org.tanagergap.entry.caller.BytesInFlight;
import org.tanagergap.entry.caller.CallerServerContext;
import org.tanagergap.entry.caller.EntryCallerServer;
import org.tanagergap.entry.caller.RequestIds;
import org.tanagergap.entry.caller.RequestsInFlight;
import org.tanagergap.entry.configuration.ConfigurationFeed;
import org.tanagergap.entry.configuration.ConfigurationView;
import org.tanagergap.entry.configuration.PeerServer;
import org.tanagergap.entry.execution.ExecutorContext;
import org.tanagergap.entry.execution.RequestExecutor;
import org.tanagergap.entry.membership.AgentExchange;
import org.tanagergap.entry.membership.AgentMembership;
import org.tanagergap.entry.metrics.EntryMetrics;
import org.tanagergap.runtime.admin.AdminServer;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.InboundBudget;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.metrics.MetricsText;
import org.tanagergap.runtime.program.ProgramContext;
import org.tanagergap.runtime.tls.TlsReloader;

/** Wires the components of an entry and starts and stops them in order. */
public final class EntryService implements Service {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ProgramContext mContext;
    private final EntrySettings mSettings;
    private final ConfigurationView mView;
    private final EntryReadiness mReadiness;
    private final RequestsInFlight mRequests = new RequestsInFlight();
    private final InboundBudget mBudget = InboundBudget.ofProcess();
    private final InboundProtection mInbound;
    private final Context mEventLoop;
    private final TlsReloader mTls;
    private final AgentClients mClients;
    private final HintReader mHints = new HintReader();
    private final EntryCallerServer mCallerServer;
    private final PeerServer mPeerServer;
    private final AdminServer mAdminServer;
    private final List<Service> mBackgroundServices;
    private volatile boolean mAccepting;

    public EntryService(
            ProgramContext context, EntrySettings settings, EntryComponents components) {
        mContext = Objects.requireNonNull(context, "context must not be null");
        mSettings = Objects.requireNonNull(settings, "settings must not be null");
        mInbound = mBudget.protection(context.clock(), context.accepted(), context.metrics());
        mEventLoop = context.vertx().getOrCreateContext();
        mView = new ConfigurationView(components.documents());
        mReadiness = new EntryReadiness(context.clock(), mView::isPresent, components.router());
        mTls = new TlsReloader(context.vertx(), context.clock(), settings.tls());
        mClients = new AgentClients(context.vertx(), mTls);
        AgentActivity activity = new AgentActivity(context.clock());
        ConfigurationFeed feed =
                new ConfigurationFeed(
                        components.store(),
                        mView,
                        mClients,
                        settings.peers(),
                        context.vertx(),
                        context.clock());
        AgentMembership membership =
                new AgentMembership(
                        settings.id(),
                        mView,
                        components.instances(),
                        components.router(),
                        activity,
                        mHints,
                        context.clock());
        AgentExchange exchange =
                new AgentExchange(
                        settings.id(),
                        context.vertx(),
                        mView,
                        components.router(),
                        mClients,
                        activity,
                        mHints,
                        context.clock());
        mBackgroundServices = List.of(membership, exchange, feed);
        mCallerServer = callerServer(components, activity);
        mPeerServer =
                new PeerServer(
                        context.vertx(),
                        settings.peerListen(),
                        mView,
                        mTls,
                        mInbound,
                        mBudget.calls(() -> mView.current().document().length()));
        EntryStatus status = new EntryStatus(settings, mView, components.router(), mRequests);
        mAdminServer =
                new AdminServer(
                        context.vertx(),
                        context.adminListen(),
                        new MetricsText(context.metrics()),
                        this::isReady,
                        () -> status.toJson(isReady()),
                        Optional.of(mInbound));
    }

    /** Starts the servers on one event loop, which also bounds the memory for their clients. */
    @Override
    public CompletableFuture<Void> start() {
        CompletableFuture<Void> started =
                Futures.onContext(mEventLoop, mAdminServer::start)
                        .thenCompose(ignored -> Futures.onContext(mEventLoop, mPeerServer::start))
                        .thenCompose(ignored -> mCallerServer.start())
                        .thenCompose(ignored -> mTls.start());
        for (Service service : mBackgroundServices) {
            started = started.thenCompose(ignored -> service.start());
        }
        return started.thenRun(
                () -> {
                    mAccepting = true;
                    sLogger.atInfo().log(
                            "entry %s serves callers on port %d and peers on port %d",
                            mSettings.id(), mCallerServer.port(), mPeerServer.port());
                });
    }

    @Override
    public CompletableFuture<Void> stop() {
        mAccepting = false;
        sLogger.atInfo().log("finishing %d requests in flight", mRequests.count());
        CompletableFuture<Void> stopped =
                delay(mSettings.drain()).thenCompose(ignored -> mCallerServer.stop());
        for (Service service : mBackgroundServices) {
            stopped = stopped.thenCompose(ignored -> service.stop());
        }
        return stopped.thenCompose(ignored -> mTls.stop())
                .thenCompose(ignored -> mPeerServer.stop())
                .thenCompose(ignored -> Futures.toCompletable(mClients.close()))
                .thenCompose(ignored -> mAdminServer.stop());
    }

    /** Returns true if the load balancer may send requests. */
    public boolean isReady() {
        return mAccepting && mReadiness.isReady();
    }

    /** Port for callers. */
    public int callerPort() {
        return mCallerServer.port();
    }

    /** Port for other entries. */
    public int peerPort() {
        return mPeerServer.port();
    }

    /** Port for operators. */
    public int adminPort() {
        return mAdminServer.port();
    }

    private EntryCallerServer callerServer(EntryComponents components, AgentActivity activity) {
        EntryMetrics metrics = new EntryMetrics(mContext.metrics());
        RequestExecutor executor =
                new RequestExecutor(
                        new ExecutorContext(
                                mContext.vertx(),
                                mContext.clock(),
                                components.router(),
                                mClients,
                                activity,
                                mHints,
                                new RetryPolicy(mContext.clock(), components.retryBudget()),
                                components.retryBudget(),
                                metrics,
                                mContext.tracing()));
        BytesInFlight bytes = new BytesInFlight(mSettings.caller().maxBytesInFlight());
        mContext.metrics().register("body_bytes_in_flight", (Gauge<Long>) bytes::bytes);
        mContext.metrics().register("requests_in_flight", (Gauge<Integer>) mRequests::count);
        mContext.metrics()
                .register("configuration_version", (Gauge<Long>) () -> mView.current().version());
        return new EntryCallerServer(
                new CallerServerContext(
                        mContext.vertx(),
                        mContext.clock(),
                        mSettings.caller(),
                        executor,
                        components.tokens(),
                        metrics,
                        mContext.tracing(),
                        bytes,
                        mBudget.bodies(),
                        mInbound,
                        mRequests),
                mEventLoop,
                mTls,
                mView,
                new RequestIds(mSettings.id(), new SecureRandom()));
    }

    private CompletableFuture<Void> delay(Duration time) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        if (time.isZero()) {
            result.complete(null);
        } else {
            mContext.clock().schedule(time, () -> result.complete(null));
        }
        return result;
    }
}
