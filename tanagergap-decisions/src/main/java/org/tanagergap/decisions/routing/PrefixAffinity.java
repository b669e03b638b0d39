package org.tanagergap.decisions.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Agents that probably hold a prefix: by their hints and by this entry's own recent choices. */
final class PrefixAffinity {

    /** 4,096 hashes of 64 characters take about 1 MB. */
    private static final int MAX_RECENT = 4_096;

    /** Bridges the time until hints and cache events, which arrive late, report the prefix. */
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

    /** Replaces the hashes that an agent reports. */
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

    /** Name of the agent that most probably holds the prefix. */
    Optional<String> agent(String hash, long nowNanos) {
        Choice recent = mRecent.get(hash);
        if (recent != null && isCurrent(recent, nowNanos)) {
            return Optional.of(recent.agent());
        }
        Set<String> agents = mAgentsByHash.get(hash);
        return agents == null ? Optional.empty() : Optional.of(agents.iterator().next());
    }

    /** Whether the agent reports the prefix or was chosen for it shortly ago. */
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
