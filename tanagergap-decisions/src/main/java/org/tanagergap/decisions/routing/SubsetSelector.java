package org.tanagergap.decisions.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Selects the agents that an entry uses. Each agent has responsible entries by rendezvous hashing,
 * so that every agent is in some entry's subset and subsets hardly change when instances join or
 * leave.
 */
public final class SubsetSelector {

    /**
     * All agents of a service with at most this many are used; subsets of larger ones have at least
     * as many.
     */
    static final int MIN_AGENTS = 12;

    private static final int RESPONSIBLE_ENTRIES = 2;

    private final String mEntry;

    public SubsetSelector(String entry) {
        mEntry = Objects.requireNonNull(entry, "entry must not be null");
    }

    /** Returns the subset of the agents for this entry among the live entries. */
    public Set<AgentEndpoint> select(Collection<AgentEndpoint> agents, Collection<String> entries) {
        Map<String, Set<AgentEndpoint>> byService = new TreeMap<>();
        for (AgentEndpoint agent : agents) {
            byService.computeIfAbsent(agent.service(), s -> new LinkedHashSet<>()).add(agent);
        }
        Set<String> live = new TreeSet<>(entries);
        // The instance list is updated with a delay and may not contain this entry yet.
        live.add(mEntry);
        Set<AgentEndpoint> subset = new LinkedHashSet<>();
        byService.values().forEach(all -> subset.addAll(selectOfService(all, live)));
        return subset;
    }

    /** Returns true if this entry is among those responsible for the agent. */
    public boolean isResponsible(AgentEndpoint agent, Collection<String> entries) {
        return RendezvousHash.first(agent.name(), entries, e -> e, RESPONSIBLE_ENTRIES)
                .contains(mEntry);
    }

    private Set<AgentEndpoint> selectOfService(Set<AgentEndpoint> all, Set<String> entries) {
        if (all.size() <= MIN_AGENTS) {
            return all;
        }
        Set<AgentEndpoint> subset = new LinkedHashSet<>();
        for (AgentEndpoint agent : all) {
            if (isResponsible(agent, entries)) {
                subset.add(agent);
            }
        }
        // With many entries and few agents, an entry is responsible for too few agents to choose
        // from.
        List<AgentEndpoint> preferred =
                RendezvousHash.first(mEntry, all, AgentEndpoint::name, all.size());
        Map<String, AgentEndpoint> firstOfDomain = new LinkedHashMap<>();
        for (AgentEndpoint agent : preferred) {
            firstOfDomain.putIfAbsent(agent.failureDomain(), agent);
            if (subset.size() < MIN_AGENTS) {
                subset.add(agent);
            }
        }
        // The loss of a failure domain must not leave the entry without agents.
        Set<String> domains = new TreeSet<>();
        subset.forEach(agent -> domains.add(agent.failureDomain()));
        firstOfDomain.forEach(
                (domain, agent) -> {
                    if (!domains.contains(domain)) {
                        subset.add(agent);
                    }
                });
        return subset;
    }
}
