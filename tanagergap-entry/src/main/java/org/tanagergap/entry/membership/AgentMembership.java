package org.tanagergap.entry.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.tanagergap.api.configuration.UpstreamDefinition;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.lock.LockRank;
import org.tanagergap.api.lock.OrderedLock;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.RequestRouter;
import org.tanagergap.entry.agent.AgentActivity;
import org.tanagergap.entry.agent.HintReader;
import org.tanagergap.entry.configuration.ConfigurationSnapshot;
import org.tanagergap.entry.configuration.ConfigurationView;
import org.tanagergap.platform.instances.Instance;
import org.tanagergap.platform.instances.InstanceList;
import org.tanagergap.runtime.time.PeriodicTask;

/**
 * Updates the agents of the router: the upstreams of the configuration, without terminating
 * instances and with the addresses of the instance list where it has them.
 */
public final class AgentMembership implements Service {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    /**
     * A third of the 3 s after which a terminating upstream must get no requests, because the list
     * itself lags.
     */
    private static final Duration POLL_INTERVAL = Duration.ofSeconds(1);

    private final String mEntryId;
    private final ConfigurationView mView;
    private final Optional<InstanceList> mInstances;
    private final RequestRouter mRouter;
    private final AgentActivity mActivity;
    private final HintReader mHints;
    private final PeriodicTask mPoll;
    private final OrderedLock mLock = new OrderedLock(LockRank.MEMBERSHIP_TABLE);
    private List<Instance> mAgentInstances = List.of();
    private Set<String> mLiveEntries = Set.of();

    public AgentMembership(
            String entryId,
            ConfigurationView view,
            Optional<InstanceList> instances,
            RequestRouter router,
            AgentActivity activity,
            HintReader hints,
            RuntimeClock clock) {
        mEntryId = Objects.requireNonNull(entryId, "entryId must not be null");
        mView = Objects.requireNonNull(view, "view must not be null");
        mInstances = Objects.requireNonNull(instances, "instances must not be null");
        mRouter = Objects.requireNonNull(router, "router must not be null");
        mActivity = Objects.requireNonNull(activity, "activity must not be null");
        mHints = Objects.requireNonNull(hints, "hints must not be null");
        mPoll = new PeriodicTask(clock, POLL_INTERVAL, this::poll);
        view.addListener(ignored -> apply());
    }

    @Override
    public CompletableFuture<Void> start() {
        poll();
        return mInstances.isPresent() ? mPoll.start() : CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        return mPoll.stop();
    }

    /**
     * Keeps the last list if a read fails, because the router reacts to failed connections anyway.
     */
    private void poll() {
        if (mInstances.isEmpty()) {
            return;
        }
        CompletableFuture<List<Instance>> agents = mInstances.get().read("agents");
        CompletableFuture<List<Instance>> entries = mInstances.get().read("entries");
        agents.thenAcceptBoth(entries, this::listReceived)
                .exceptionally(
                        failure -> {
                            sLogger.atFine().withCause(failure).log(
                                    "the instance list could not be read; keeping the last one");
                            return null;
                        });
    }

    private void listReceived(List<Instance> agents, List<Instance> entries) {
        Set<String> liveEntries =
                entries.stream()
                        .filter(e -> !e.terminating())
                        .map(Instance::name)
                        .collect(Collectors.toSet());
        boolean changed =
                mLock.call(
                        () -> {
                            boolean differs =
                                    !agents.equals(mAgentInstances)
                                            || !liveEntries.equals(mLiveEntries);
                            mAgentInstances = agents;
                            mLiveEntries = liveEntries;
                            return differs;
                        });
        if (changed) {
            apply();
        }
    }

    /**
     * Reads and applies under one lock, so that an older configuration never replaces a newer one.
     */
    private void apply() {
        mLock.run(
                () -> {
                    List<AgentEndpoint> agents = merge(mView.current());
                    mRouter.replaceAgents(agents);
                    List<String> names = agents.stream().map(AgentEndpoint::name).toList();
                    mActivity.retain(names);
                    mHints.retain(names);
                });
    }

    private List<AgentEndpoint> merge(ConfigurationSnapshot configuration) {
        Map<String, Instance> byName = new HashMap<>();
        Map<String, Instance> byAddress = new HashMap<>();
        for (Instance instance : mAgentInstances) {
            byName.put(instance.name(), instance);
            byAddress.put(instance.address(), instance);
        }
        Map<String, List<AgentEndpoint>> byService = new TreeMap<>();
        for (UpstreamDefinition upstream : configuration.configuration().upstreams()) {
            Instance instance =
                    byName.getOrDefault(upstream.name(), byAddress.get(upstream.agentAddress()));
            if (instance != null && instance.terminating()) {
                continue;
            }
            byService
                    .computeIfAbsent(upstream.service(), ignored -> new ArrayList<>())
                    .add(endpoint(upstream, instance));
        }
        List<AgentEndpoint> subset = new ArrayList<>();
        byService.values().forEach(a -> subset.addAll(AgentSubset.of(mEntryId, mLiveEntries, a)));
        return subset;
    }

    private static AgentEndpoint endpoint(UpstreamDefinition upstream, Instance instance) {
        String address = instance == null ? upstream.agentAddress() : instance.address();
        return new AgentEndpoint(
                upstream.name(), upstream.service(), address, upstream.failureDomain());
    }
}
