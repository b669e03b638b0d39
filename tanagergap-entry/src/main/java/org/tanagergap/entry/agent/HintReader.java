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
 * Converts load hints from messages and caches the prefix hashes of each agent, which agents omit
 * from their replies while the hashes do not change.
 */
public final class HintReader {

    /** A faulty agent must not grow the entry's tables (design page, section 5). */
    private static final int MAX_PREFIX_HASHES = 32;

    private static final int MAX_RANKS = 64;

    private final Map<String, CachedPrefixes> mCachedPrefixes = new ConcurrentHashMap<>();

    /** Revision of the prefix hashes cached for the agent; 0 for none. */
    public long knownPrefixRevision(String agent) {
        CachedPrefixes cached = mCachedPrefixes.get(agent);
        return cached == null ? 0 : cached.revision();
    }

    /** Removes all other agents, so that the table does not outgrow the subset. */
    public void retain(Collection<String> agents) {
        mCachedPrefixes.keySet().retainAll(agents);
    }

    /** Converts the load hint of an agent's message. */
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

    /** Without length bands, all queued prefill tokens count as ahead of new requests. */
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
        // An empty list costs nothing to send again. A late reply, which omitted the hashes of a
        // revision that is no longer cached, must not be mistaken for one of an agent without
        // prefixes.
        long cachedRevision = hashes.isEmpty() ? 0 : revision;
        mCachedPrefixes.put(agent, new CachedPrefixes(cachedRevision, hashes));
        return hashes;
    }

    private record CachedPrefixes(long revision, Set<String> hashes) {}
}
