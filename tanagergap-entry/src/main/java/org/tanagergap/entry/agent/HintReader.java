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

    /** Far above the memory of an engine; sums of such numbers do not overflow. */
    private static final long MAX_TOKENS = 1_000_000_000_000L;

    private static final int MAX_QUEUED = 1_000_000_000;

    /** Longer than any report is worth; a {@code Duration} of 300 years has no nanoseconds. */
    private static final long MAX_REPORT_AGE_MILLIS = Duration.ofDays(1).toMillis();

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
                                        new RankLoad(
                                                (int) limited(r.getQueued(), MAX_QUEUED),
                                                tokens(r.getQueuedTokens()))));
        return new LoadHint(
                tokens(hint.getMemoryTokensTotal()),
                tokens(hint.getMemoryTokensFree()),
                backlog(hint),
                rate(hint.getPrefillTokensPerSecond()),
                ranks,
                hint.getDraining(),
                hint.getUpstreamReady(),
                Duration.ofMillis(limited(hint.getLoadReportAgeMs(), MAX_REPORT_AGE_MILLIS)),
                prefixes(agent, hint),
                hint.getConfigurationVersion());
    }

    /** Without length bands, all queued prefill tokens count as ahead of new requests. */
    private static PrefillBacklog backlog(Hint hint) {
        return hint.getPrefillTokensByBandCount() == LengthBand.values().length
                ? new PrefillBacklog(
                        tokens(hint.getPrefillTokensByBand(LengthBand.SHORT.ordinal())),
                        tokens(hint.getPrefillTokensByBand(LengthBand.MEDIUM.ordinal())),
                        tokens(hint.getPrefillTokensByBand(LengthBand.LONG.ordinal())))
                : new PrefillBacklog(tokens(hint.getPrefillTokensQueued()), 0, 0);
    }

    private static long tokens(long tokens) {
        return limited(tokens, MAX_TOKENS);
    }

    private static long limited(long number, long max) {
        return Math.max(0, Math.min(max, number));
    }

    /** Returns the rate, or 0 for not measured if it is not a rate of an engine. */
    private static double rate(double tokensPerSecond) {
        return tokensPerSecond >= 0 && tokensPerSecond <= MAX_TOKENS ? tokensPerSecond : 0;
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
