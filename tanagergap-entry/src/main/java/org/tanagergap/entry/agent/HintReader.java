package org.tanagergap.entry.agent;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.decisions.routing.LoadHint;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.decisions.scheduling.RankLoad;
import org.tanagergap.protocol.v1.Hint;

/** Reads load hints from messages. */
public final class HintReader {

    /** Section 5 of the design page; a faulty agent must not grow the entry's tables. */
    private static final int MAX_PREFIX_HASHES = 32;

    private static final int MAX_RANKS = 64;

    private HintReader() {}

    /** Hint of a message. */
    public static LoadHint read(Hint hint) {
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
                new HashSet<>(
                        hint.getPrefixHashesList().stream().limit(MAX_PREFIX_HASHES).toList()),
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
}
