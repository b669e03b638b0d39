package org.tanagergap.entry.membership;

import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.entry.agent.AgentActivity;
import org.tanagergap.entry.agent.AgentClients;
import org.tanagergap.entry.agent.HintReader;
import org.tanagergap.entry.configuration.ConfigurationSnapshot;
import org.tanagergap.entry.configuration.ConfigurationView;
import org.tanagergap.protocol.v1.ExchangeReply;
import org.tanagergap.protocol.v1.ExchangeRequest;
import org.tanagergap.protocol.v1.RankPolicy;
import org.tanagergap.protocol.v1.UpstreamPolicy;
import org.tanagergap.runtime.time.PeriodicTask;

/** Exchanges configuration versions and load hints with the agents of the subset. */
public final class AgentExchange implements Service {

    /** Interval of checks for due agents; the router schedules each agent about every 2 s. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private static final long TIMEOUT_MILLIS = 1_000;

    private final String mEntryId;
    private final Vertx mVertx;
    private final ConfigurationView mView;
    private final RequestRouter mRouter;
    private final AgentClients mClients;
    private final AgentActivity mActivity;
    private final HintReader mHints;
    private final PeriodicTask mTask;
    private final Set<String> mInFlight = ConcurrentHashMap.newKeySet();

    public AgentExchange(
            String entryId,
            Vertx vertx,
            ConfigurationView view,
            RequestRouter router,
            AgentClients clients,
            AgentActivity activity,
            HintReader hints,
            RuntimeClock clock) {
        mEntryId = Objects.requireNonNull(entryId, "entryId must not be null");
        mVertx = Objects.requireNonNull(vertx, "vertx must not be null");
        mView = Objects.requireNonNull(view, "view must not be null");
        mRouter = Objects.requireNonNull(router, "router must not be null");
        mClients = Objects.requireNonNull(clients, "clients must not be null");
        mActivity = Objects.requireNonNull(activity, "activity must not be null");
        mHints = Objects.requireNonNull(hints, "hints must not be null");
        mTask = new PeriodicTask(clock, CHECK_INTERVAL, this::exchangeDue);
        view.addListener(ignored -> mVertx.runOnContext(nothing -> exchangeDue()));
    }

    @Override
    public CompletableFuture<Void> start() {
        return mTask.start();
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mTask.stop();
    }

    private void exchangeDue() {
        ConfigurationSnapshot snapshot = mView.current();
        if (snapshot.version() == 0) {
            return;
        }
        for (AgentEndpoint agent : mRouter.exchangeDue(snapshot.version())) {
            if (mInFlight.add(agent.name())) {
                exchange(agent, snapshot.configuration());
            }
        }
    }

    private void exchange(AgentEndpoint agent, Configuration configuration) {
        mClients.agent(agent.address())
                .compose(client -> client.exchange(request(agent, configuration)))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onComplete(reply -> replied(agent, reply), failure -> failed(agent));
    }

    private void replied(AgentEndpoint agent, ExchangeReply reply) {
        mInFlight.remove(agent.name());
        mActivity.recordActivity(agent.name());
        mRouter.connectionSucceeded(agent.name());
        mRouter.hintReceived(agent.name(), mHints.read(agent.name(), reply.getHint()));
    }

    private void failed(AgentEndpoint agent) {
        mInFlight.remove(agent.name());
        mRouter.connectionFailed(agent.name());
    }

    private ExchangeRequest request(AgentEndpoint agent, Configuration configuration) {
        ExchangeRequest.Builder request =
                ExchangeRequest.newBuilder()
                        .setEntryId(mEntryId)
                        .setConfigurationVersion(configuration.version())
                        .setKnownPrefixRevision(mHints.knownPrefixRevision(agent.name()));
        Optional<LoadHint> hint = mRouter.hint(agent.name());
        long agentVersion = hint.map(LoadHint::configurationVersion).orElse(0L);
        if (agentVersion < configuration.version()) {
            configuration
                    .ranks()
                    .forEach(
                            rank ->
                                    request.addRanks(
                                            RankPolicy.newBuilder()
                                                    .setName(rank.name())
                                                    .setPriority(rank.priority())
                                                    .setFloorPercent(rank.floorPercent())));
            configuration
                    .upstream(agent.name())
                    .ifPresent(
                            upstream ->
                                    request.setUpstream(
                                            UpstreamPolicy.newBuilder()
                                                    .setName(upstream.name())
                                                    .setService(upstream.service())
                                                    .setMemoryTokens(upstream.memoryTokens())
                                                    .setChecksFencing(upstream.checksFencing())));
        }
        return request.build();
    }
}
