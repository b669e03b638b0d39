package org.tanagergap.decisions.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/** Agents by name, and the usable ones of each service in a list for random choice. */
final class AgentPool {

    private final Map<String, RoutedAgent> mAgents = new TreeMap<>();
    private final Map<String, List<RoutedAgent>> mUsable = new HashMap<>();
    private final RandomGenerator mRandom;

    AgentPool(RandomGenerator random) {
        mRandom = random;
    }

    RoutedAgent find(String name) {
        return mAgents.get(name);
    }

    Iterable<RoutedAgent> all() {
        return mAgents.values();
    }

    void replace(Map<String, RoutedAgent> agents) {
        mAgents.clear();
        mAgents.putAll(agents);
        mUsable.clear();
        for (RoutedAgent agent : mAgents.values()) {
            if (agent.isUsable()) {
                usable(agent.endpoint().service()).add(agent);
            }
        }
    }

    /** Updates the list of usable agents after a change of the agent. */
    void refresh(RoutedAgent agent, boolean wasUsable) {
        if (agent.isUsable() == wasUsable) {
            return;
        }
        List<RoutedAgent> usable = usable(agent.endpoint().service());
        if (wasUsable) {
            usable.remove(agent);
        } else {
            usable.add(agent);
        }
    }

    /** Returns the usable agents of a service; the list is live and changes with the pool. */
    List<RoutedAgent> usable(String service) {
        return mUsable.computeIfAbsent(service, s -> new ArrayList<>());
    }

    /**
     * Returns distinct random usable agents, at most the given number, without the excluded names.
     */
    Set<RoutedAgent> sample(String service, int count, int allUpTo, Set<String> excluded) {
        List<RoutedAgent> usable = usable(service);
        Set<RoutedAgent> sample = new LinkedHashSet<>();
        if (usable.size() <= allUpTo) {
            addAllowed(usable, excluded, sample, usable.size());
            return sample;
        }
        // Few names are excluded, so that a few draws suffice; the scan covers the other case.
        int draws = 2 * (count + excluded.size());
        for (int i = 0; i < draws && sample.size() < count; i++) {
            RoutedAgent agent = usable.get(mRandom.nextInt(usable.size()));
            if (!excluded.contains(agent.name())) {
                sample.add(agent);
            }
        }
        if (sample.isEmpty()) {
            addAllowed(usable, excluded, sample, count);
        }
        return sample;
    }

    private static void addAllowed(
            List<RoutedAgent> agents, Set<String> excluded, Set<RoutedAgent> sample, int count) {
        for (RoutedAgent agent : agents) {
            if (sample.size() < count && !excluded.contains(agent.name())) {
                sample.add(agent);
            }
        }
    }
}
