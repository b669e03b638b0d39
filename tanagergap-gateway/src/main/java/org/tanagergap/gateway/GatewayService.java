package org.tanagergap.gateway;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.fleet.ConcurrentPlacements;
import org.tanagergap.decisions.fleet.DomainDelays;
import org.tanagergap.decisions.fleet.FleetLoad;
import org.tanagergap.decisions.fleet.UpstreamHealth;
import org.tanagergap.decisions.memory.SharedMemoryLimit;
import org.tanagergap.decisions.replication.ReplicationTiming;
import org.tanagergap.decisions.replication.StoreReaders;
import org.tanagergap.gateway.caller.GatewayCallerServer;
import org.tanagergap.gateway.caller.ReadinessServer;
import org.tanagergap.gateway.caller.RequestResolver;
import org.tanagergap.gateway.forward.EngineAdminClient;
import org.tanagergap.gateway.forward.Forwarder;
import org.tanagergap.gateway.forward.ForwardingContext;
import org.tanagergap.gateway.forward.InstanceIdentity;
import org.tanagergap.gateway.forward.QuarantineGate;
import org.tanagergap.gateway.forward.RateLimitGate;
import org.tanagergap.gateway.forward.RetryBudgets;
import org.tanagergap.gateway.forward.UnconfirmedReleases;
import org.tanagergap.gateway.forward.UnsentAttempts;
import org.tanagergap.gateway.forward.UpstreamClients;
import org.tanagergap.gateway.membership.FleetView;
import org.tanagergap.gateway.membership.StoreSync;
import org.tanagergap.gateway.peer.PeerDirectory;
import org.tanagergap.gateway.peer.PeerExchange;
import org.tanagergap.gateway.peer.PeerRegistration;
import org.tanagergap.gateway.peer.PeerReplicaClient;
import org.tanagergap.gateway.peer.PeerReplicaServer;
import org.tanagergap.runtime.admin.AdminServer;
import org.tanagergap.runtime.async.Futures;
import org.tanagergap.runtime.http.BoundedResponses;
import org.tanagergap.runtime.http.DescriptorLimit;
import org.tanagergap.runtime.http.InboundBudget;
import org.tanagergap.runtime.http.InboundProtection;
import org.tanagergap.runtime.metrics.MetricsText;
import org.tanagergap.runtime.program.ProgramContext;

/** The gateway: creates its components, and starts and stops them in order. */
public final class GatewayService implements Service {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final GatewaySettings mSettings;
    private final InboundBudget mBudget;
    private final Context mEventLoop;
    private final FleetView mView;
    private final PeerRegistration mRegistration;
    private final StoreSync mSync;
    private final GatewayCallerServer mCallers;
    private final AdminServer mAdmin;
    private final SettingsWatch mSettingsWatch;
    private final List<Service> mServices;
    private final GatewayShutdown mShutdown;
    private boolean mDraining;

    public GatewayService(
            ProgramContext context, ReloadableSettings reloadable, GatewayPlatform platform) {
        Vertx vertx = context.vertx();
        mClock = context.clock();
        mSettings = reloadable.settings();
        mBudget = budget(mSettings);
        mEventLoop = vertx.getOrCreateContext();
        mView = new FleetView(mClock);
        mSettingsWatch = new SettingsWatch(mClock, reloadable);
        RandomGenerator random = new Random();
        FleetLoad load = new FleetLoad();
        UpstreamHealth health = new UpstreamHealth();
        PeerDirectory directory = new PeerDirectory(mClock, mSettings.id(), mSettings.seeds());
        mRegistration = registration(platform);
        HttpClient client = UpstreamClients.create(vertx);
        mSync = storeSync(platform, directory, new PeerReplicaClient(client, directory));
        EngineAdminClient engineAdmin = new EngineAdminClient(client, platform.wire());
        QuarantineGate quarantine = new QuarantineGate(mClock, context.metrics(), engineAdmin);
        RateLimitGate rateLimits = rateLimits(context.metrics());
        UnconfirmedReleases releases = new UnconfirmedReleases(mClock);
        PeerExchange exchange =
                new PeerExchange(
                        vertx,
                        mClock,
                        mSettings.id(),
                        mSettings.peerListen(),
                        directory,
                        load,
                        health,
                        quarantine,
                        rateLimits,
                        mSync);
        mSync.announceWith(exchange::announce);
        registerGauges(context.metrics());
        Forwarder forwarder =
                new Forwarder(
                        new ForwardingContext(
                                new InstanceIdentity(mSettings.id(), mSettings.failureDomain()),
                                mClock,
                                client,
                                engineAdmin,
                                platform.wire(),
                                mView,
                                load,
                                health,
                                concurrentPlacements(directory, load),
                                new DomainDelays(mSettings.failureDomain()),
                                mSettings.reservationLimits(),
                                retryBudgets(directory),
                                quarantine,
                                rateLimits,
                                new UnsentAttempts(),
                                releases,
                                mBudget.memory(),
                                context.metrics(),
                                context.tracing(),
                                exchange::announce),
                        random);
        registerMemory(context.metrics());
        InboundProtection inbound =
                mBudget.protection(mClock, context.accepted(), context.metrics());
        mCallers = callerServer(context, inbound, platform, new RequestResolver(random), forwarder);
        rateLimits.listener(new GatewayPermitListener(exchange, forwarder));
        mView.addListener(new GatewayFleetListener(forwarder, health, rateLimits, mCallers));
        GatewayStatus status =
                new GatewayStatus(
                        mSettings,
                        mView,
                        mSync,
                        directory,
                        mCallers,
                        load,
                        health,
                        quarantine,
                        rateLimits,
                        mClock);
        mAdmin = adminServer(context, inbound, status);
        mServices = services(vertx, inbound, exchange);
        mShutdown = new GatewayShutdown(mClock, mSettings, mCallers, releases, mServices);
    }

    private void registerGauges(MetricRegistry metrics) {
        metrics.register(
                "gateway_drained_domains", (Gauge<Integer>) () -> mView.drainedDomains().size());
        metrics.register("gateway_kept_upstreams", (Gauge<Integer>) mView::keptUpstreams);
        metrics.register("gateway_store_reader", (Gauge<Integer>) () -> mSync.isReader() ? 1 : 0);
    }

    private GatewayCallerServer callerServer(
            ProgramContext context,
            InboundProtection inbound,
            GatewayPlatform platform,
            RequestResolver resolver,
            Forwarder forwarder) {
        return new GatewayCallerServer(
                context.vertx(),
                mClock,
                mSettings.listen(),
                mView,
                platform.wire(),
                resolver,
                mBudget.bodies(),
                forwarder,
                inbound,
                mSettings.inbound());
    }

    private RateLimitGate rateLimits(MetricRegistry metrics) {
        ColdRateSettings cold = mSettings.coldRate();
        RateLimitGate gate = new RateLimitGate(mClock, mSettings.id(), mView, metrics, cold::bound);
        metrics.register(
                "gateway_cold_upstreams", (Gauge<Integer>) () -> gate.coldRemaining().size());
        return gate;
    }

    private RetryBudgets retryBudgets(PeerDirectory directory) {
        return new RetryBudgets(mClock, mSettings.retryBudget(), directory::instanceCount);
    }

    private void registerMemory(MetricRegistry metrics) {
        metrics.register("gateway_body_bytes", (Gauge<Long>) mBudget.bodies()::reservedBytes);
        metrics.register(
                "gateway_response_bytes",
                (Gauge<Long>) () -> mBudget.memory().usedBytes() - mBudget.usedBytes());
    }

    private static InboundBudget budget(GatewaySettings settings) {
        int configured = settings.inbound().maxConnections();
        int descriptors = DescriptorLimit.maxConnections();
        return new InboundBudget(
                SharedMemoryLimit.ofHeapCapacity(),
                configured > 0 ? Math.min(configured, descriptors) : descriptors);
    }

    private PeerRegistration registration(GatewayPlatform platform) {
        return new PeerRegistration(
                mClock,
                platform.store(),
                mSettings.id(),
                PeerDirectory.registrationValue(mSettings.peerListen()));
    }

    private static ConcurrentPlacements concurrentPlacements(
            PeerDirectory directory, FleetLoad load) {
        return new ConcurrentPlacements(directory::instanceCount, load::reportAges);
    }

    private StoreSync storeSync(
            GatewayPlatform platform, PeerDirectory directory, PeerReplicaClient peers) {
        ReplicationTiming timing = new ReplicationTiming(mSettings.maxUseAfterLeaving());
        return new StoreSync(
                mClock,
                platform.feed(),
                platform.decoder(),
                List.of(PeerDirectory.KEY_PREFIX),
                mView,
                peers,
                directory::instanceCount,
                new StoreReaders(mSettings.id(), mSettings.failureDomain(), timing),
                timing,
                new GatewayStoreListener(directory, mRegistration));
    }

    /** Services in the order of their start. */
    private List<Service> services(Vertx vertx, InboundProtection inbound, PeerExchange exchange) {
        return List.of(
                new ReadinessServer(vertx, mSettings.readyListen(), this::ready, inbound),
                new PeerReplicaServer(
                        vertx,
                        mSettings.peerListen(),
                        mSync::replica,
                        inbound,
                        new BoundedResponses(inbound, mBudget.responses())),
                exchange,
                mSync,
                mRegistration,
                mSettingsWatch);
    }

    private AdminServer adminServer(
            ProgramContext context, InboundProtection inbound, GatewayStatus status) {
        return new AdminServer(
                context.vertx(),
                context.adminListen(),
                new MetricsText(context.metrics()),
                this::ready,
                status::json,
                Optional.of(inbound));
    }

    @Override
    public CompletableFuture<Void> start() {
        // Before the port of callers is open, so that no signal ends their requests.
        mSettingsWatch.handleSignal();
        return Futures.onContext(
                mEventLoop,
                () -> {
                    CompletableFuture<Void> started = mCallers.start();
                    for (Service service : mServices) {
                        started = started.thenCompose(ignored -> service.start());
                    }
                    mSync.loaded().thenRun(this::fleetLoaded);
                    return started;
                });
    }

    private void fleetLoaded() {
        mView.initialLoadCompleted();
        mCallers.fleetLoaded();
        // Started last, so that a restarted instance serves requests as soon as possible.
        startAdmin();
    }

    private void startAdmin() {
        mAdmin.start()
                .exceptionally(
                        failure -> {
                            sLogger.atWarning().log(
                                    "admin server did not start, no metrics and status: %s",
                                    Futures.rootFailure(failure));
                            return null;
                        });
    }

    /**
     * Reports unready, serves requests until the load balancer has noticed, and then stops when the
     * last one has ended.
     */
    @Override
    public CompletableFuture<Void> stop() {
        return Futures.onContext(
                mEventLoop,
                () -> {
                    mDraining = true;
                    return mShutdown.begin();
                });
    }

    private boolean ready() {
        return !mDraining && mView.configuration().isPresent() && mSync.loaded().isDone();
    }
}
