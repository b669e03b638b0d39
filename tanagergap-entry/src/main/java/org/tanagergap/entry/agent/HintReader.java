package org.tanagergap.entry.agent;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.decisions.scheduling.RankLoad;
import org.tanagergap.protocol.v1.Hint;

/**
 * Reads load hints from messages, and keeps the prefix hashes of each agent, which agents leave out
 * of their replies while they do not change.
 */
public final class HintReader {

    /** Section 5 of the design page; a faulty agent must not grow the entry's tables. */
    private static final int MAX_PREFIX_HASHES = 32;

    private static final int MAX_RANKS = 64;

    private final Map<String, CachedPrefixes> mCachedPrefixes = new ConcurrentHashMap<>();

    /** Revision of the prefix hashes kept for the agent; 0 for none. */
    public long knownPrefixRevision(String agent) {
        CachedPrefixes cached = mCachedPrefixes.get(agent);
        return cached == null ? 0 : cached.revision();
    }

    /** Forgets all other agents, so that the table stays as large as the subset. */
    public void retain(Collection<String> agents) {
        mCachedPrefixes.keySet().retainAll(agents);
    }

    /** Hint of a message of the agent. */
    public LoadHint read(String agent, Hint hint) {
        Map<String, RankLoad> ranks = new HashMap<>();
        hint.getRanksList().stream()
                .limit(MAX_RANKS)
                .forEach(
                        r ->
                                ranks.put(
                                        r.getRank(),
                                        new RankLoad(r.getQueued(), r.getQueuedTokens())));
        return new LoadHint(
                hint.getMemoryTokensTotal(),
                hint.getMemoryTokensFree(),
                backlog(hint),
                hint.getPrefillTokensPerSecond(),
                ranks,
                hint.getDraining(),
                hint.getUpstreamReady(),
                Duration.ofMillis(Math.max(0, hint.getLoadReportAgeMs())),
                prefixes(agent, hint),
                hint.getConfigurationVersion());
    }

    /** Agents that do not tell lengths apart count as if all work were in front of new work. */
    private static PrefillBacklog backlog(Hint hint) {
        return hint.getPrefillTokensByBandCount() == LengthBand.values().length
                ? new PrefillBacklog(
                        hint.getPrefillTokensByBand(LengthBand.SHORT.ordinal()),
                        hint.getPrefillTokensByBand(LengthBand.MEDIUM.ordinal()),
                        hint.getPrefillTokensByBand(LengthBand.LONG.ordinal()))
                : new PrefillBacklog(hint.getPrefillTokensQueued(), 0, 0);
    }

    private Set<String> prefixes(String agent, Hint hint) {
        CachedPrefixes cached = mCachedPrefixes.get(agent);
        long revision = hint.getPrefixRevision();
        if (cached != null && revision != 0 && cached.revision() == revision) {
            return cached.hashes();
        }
        Set<String> hashes =
                hint.getPrefixHashesList().stream()
                        .limit(MAX_PREFIX_HASHES)
                        .collect(Collectors.toUnmodifiableSet());
        // An empty list costs nothing to send again. A late reply, which left out the hashes of a
        // revision that is no longer kept, must not pass for an agent without prefixes.
        long cachedRevision = hashes.isEmpty() ? 0 : revision;
        mCachedPrefixes.put(agent, new CachedPrefixes(cachedRevision, hashes));
        return hashes;
    }

    private record CachedPrefixes(long revision, Set<String> hashes) {}
}
