package org.tanagergap.decisions.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Agents that have probably cached a prefix, according to their hints and to this entry's recent
 * choices.
 */
final class PrefixAffinity {

    /** 4,096 hashes of 64 characters take about 1 MB. */
    private static final int MAX_RECENT = 4_096;

    /** Covers the time until the prefix appears in hints, which depend on delayed cache events. */
    private static final Duration CHOICE_LIFETIME = Duration.ofSeconds(30);

    private final Map<String, Set<String>> mAgentsByHash = new HashMap<>();
    private final Map<String, Set<String>> mHashesByAgent = new HashMap<>();
    private final Map<String, Choice> mRecent =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Choice> eldest) {
                    return size() > MAX_RECENT;
                }
            };

    /** Replaces the prefixes reported by an agent. */
    void reported(String agent, Set<String> hashes) {
        remove(agent);
        if (hashes.isEmpty()) {
            return;
        }
        mHashesByAgent.put(agent, hashes);
        for (String hash : hashes) {
            mAgentsByHash.computeIfAbsent(hash, h -> new LinkedHashSet<>()).add(agent);
        }
    }

    void remove(String agent) {
        Set<String> old = mHashesByAgent.remove(agent);
        if (old == null) {
            return;
        }
        for (String hash : old) {
            Set<String> agents = mAgentsByHash.get(hash);
            agents.remove(agent);
            if (agents.isEmpty()) {
                mAgentsByHash.remove(hash);
            }
        }
    }

    void chosen(String hash, String agent, long nowNanos) {
        mRecent.put(hash, new Choice(agent, nowNanos));
    }

    /** Returns the name of the agent that has most probably cached the prefix. */
    Optional<String> agent(String hash, long nowNanos) {
        Choice recent = mRecent.get(hash);
        if (recent != null && isCurrent(recent, nowNanos)) {
            return Optional.of(recent.agent());
        }
        Set<String> agents = mAgentsByHash.get(hash);
        return agents == null ? Optional.empty() : Optional.of(agents.iterator().next());
    }

    /** Returns true if the agent reports the prefix or was recently chosen for it. */
    boolean hasPrefix(String agent, String hash, long nowNanos) {
        Choice recent = mRecent.get(hash);
        return mHashesByAgent.getOrDefault(agent, Set.of()).contains(hash)
                || (recent != null && recent.agent().equals(agent) && isCurrent(recent, nowNanos));
    }

    private static boolean isCurrent(Choice choice, long nowNanos) {
        return nowNanos - choice.nanos() < CHOICE_LIFETIME.toNanos();
    }

    private record Choice(String agent, long nanos) {}
}
