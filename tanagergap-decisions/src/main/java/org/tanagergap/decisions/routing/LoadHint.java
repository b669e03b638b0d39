package org.tanagergap.decisions.routing;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.decisions.scheduling.RankLoad;

/**
 * Load and state of an agent when it sent the hint.
 *
 * @param memoryTokensTotal memory of the engine, in tokens
 * @param memoryTokensFree free memory, in tokens
 * @param prefillBacklog prompt tokens that wait or are being prefilled
 * @param prefillTokensPerSecond measured prefill rate
 * @param ranks queued work by rank
 * @param draining true if the agent refuses new work
 * @param upstreamReady true if the agent can reach its upstream
 * @param loadReportAge age of the engine's own load report
 * @param prefixHashes prefixes recently cached by the engine
 * @param configurationVersion configuration version in effect at the agent
 */
public record LoadHint(
        long memoryTokensTotal,
        long memoryTokensFree,
        PrefillBacklog prefillBacklog,
        double prefillTokensPerSecond,
        Map<String, RankLoad> ranks,
        boolean draining,
        boolean upstreamReady,
        Duration loadReportAge,
        Set<String> prefixHashes,
        long configurationVersion) {

    public LoadHint {
        ranks = Map.copyOf(ranks);
        prefixHashes = Set.copyOf(prefixHashes);
    }

    /** Returns the prompt tokens of all lengths that wait or are being prefilled. */
    public long prefillTokensQueued() {
        return prefillBacklog.total();
    }
}
