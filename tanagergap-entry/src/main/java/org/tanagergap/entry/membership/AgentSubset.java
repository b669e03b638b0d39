package org.tanagergap.entry.membership;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.List;
import org.tanagergap.decisions.routing.AgentEndpoint;

/** Selects the agents of a service for which an entry is responsible, by rendezvous hashing. */
final class AgentSubset {

    /** An entry uses all agents of a service up to this number (design page, section 7.2). */
    static final int SUBSET_THRESHOLD_AGENTS = 12;

    private static final int ENTRIES_PER_AGENT = 2;

    private AgentSubset() {}

    /**
     * Agents of one service that the entry uses.
     *
     * @param entryId this entry
     * @param entries live entries; if this one is not among them, the list is incomplete and all
     *     agents are used
     */
    static List<AgentEndpoint> of(
            String entryId, Collection<String> entries, List<AgentEndpoint> agents) {
        if (agents.size() <= SUBSET_THRESHOLD_AGENTS || !entries.contains(entryId)) {
            return agents;
        }
        return agents.stream().filter(a -> isResponsible(entryId, entries, a.name())).toList();
    }

    private static boolean isResponsible(String id, Collection<String> entries, String agent) {
        long own = weight(id, agent);
        long ahead =
                entries.stream()
                        .filter(entry -> !entry.equals(id))
                        .filter(entry -> isAhead(entry, weight(entry, agent), id, own))
                        .limit(ENTRIES_PER_AGENT)
                        .count();
        return ahead < ENTRIES_PER_AGENT;
    }

    private static boolean isAhead(String entry, long weight, String other, long otherWeight) {
        return weight > otherWeight || (weight == otherWeight && entry.compareTo(other) < 0);
    }

    private static long weight(String entry, String agent) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest((entry + "\n" + agent).getBytes(StandardCharsets.UTF_8));
            return java.nio.ByteBuffer.wrap(hash).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform lacks SHA-256", e);
        }
    }
}
