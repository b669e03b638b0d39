package org.tanagergap.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.routing.AgentEndpoint;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.routing.RequestRouter;

/**
 * Decides when an entry that has started can serve requests: it has a configuration, and for each
 * service an agent has answered. Later losses of agents do not make it unready, since the other
 * entries lose them as well.
 */
final class EntryReadiness {

    /**
     * Services whose agents are all unreachable must not keep the entry from serving the others.
     */
    static final Duration MAX_WAIT_FOR_AGENTS = Duration.ofSeconds(3);

    private final RuntimeClock mClock;
    private final BooleanSupplier mHasConfiguration;
    private final RequestRouter mRouter;
    private OptionalLong mConfiguredNanos = OptionalLong.empty();
    private boolean mReady;

    EntryReadiness(RuntimeClock clock, BooleanSupplier hasConfiguration, RequestRouter router) {
        mClock = clock;
        mHasConfiguration = hasConfiguration;
        mRouter = router;
    }

    /** Returns true if requests can be served; remains true from then on. */
    synchronized boolean isReady() {
        if (!mReady && mHasConfiguration.getAsBoolean()) {
            long now = mClock.nanoTime();
            mConfiguredNanos = OptionalLong.of(mConfiguredNanos.orElse(now));
            boolean waited = now - mConfiguredNanos.getAsLong() >= MAX_WAIT_FOR_AGENTS.toNanos();
            mReady = waited || eachServiceHasAnswered();
        }
        return mReady;
    }

    private boolean eachServiceHasAnswered() {
        List<AgentEndpoint> agents = mRouter.agents();
        Set<String> unanswered = new HashSet<>();
        agents.forEach(agent -> unanswered.add(agent.service()));
        agents.stream()
                .filter(
                        agent ->
                                mRouter.hint(agent.name())
                                        .filter(LoadHint::upstreamReady)
                                        .isPresent())
                .forEach(agent -> unanswered.remove(agent.service()));
        return !agents.isEmpty() && unanswered.isEmpty();
    }
}
