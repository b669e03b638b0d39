package org.tanagergap.agent.load;

import java.util.Map;
import java.util.function.Supplier;
import org.tanagergap.agent.policy.PolicyRegistry;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.decisions.scheduling.RankLoad;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.protocol.v1.Hint;

/** Builds load hints from the agent's current state. */
public final class HintSource implements Supplier<Hint> {

    private final UpstreamScheduler mScheduler;
    private final AgentReadiness mReadiness;
    private final PolicyRegistry mPolicies;
    private final LatestLoadReport mLoadReport;
    private final PrefixTable mPrefixes;
    private final BytesPerTokenEstimator mTokenEstimator;

    public HintSource(
            UpstreamScheduler scheduler,
            AgentReadiness readiness,
            PolicyRegistry policies,
            LatestLoadReport loadReport,
            PrefixTable prefixes,
            BytesPerTokenEstimator tokenEstimator) {
        mScheduler = scheduler;
        mReadiness = readiness;
        mPolicies = policies;
        mLoadReport = loadReport;
        mPrefixes = prefixes;
        mTokenEstimator = tokenEstimator;
    }

    @Override
    public Hint get() {
        return since(0);
    }

    /**
     * Returns a hint for an entry that has the prefix hashes of the given revision, 0 for none. The
     * hint contains the hashes only if their revision differs.
     */
    public Hint since(long knownPrefixRevision) {
        PrefixSnapshot prefixes = mPrefixes.snapshot();
        long free = mScheduler.freeTokens();
        PrefillBacklog prefill = mScheduler.prefillBacklog();
        Hint.Builder hint =
                Hint.newBuilder()
                        .setMemoryTokensTotal(free + mScheduler.reservedTokens())
                        .setMemoryTokensFree(free)
                        .setPrefillTokensQueued(prefill.total())
                        .addPrefillTokensByBand(prefill.shortTokens())
                        .addPrefillTokensByBand(prefill.mediumTokens())
                        .addPrefillTokensByBand(prefill.longTokens())
                        .setPrefillTokensPerSecond(mScheduler.prefillTokensPerSecond())
                        .setDraining(mReadiness.draining())
                        .setConfigurationVersion(mPolicies.version())
                        .setLoadReportAgeMs(mLoadReport.age().toMillis())
                        .setPrefixRevision(prefixes.revision())
                        .setBytesPerToken(mTokenEstimator.bytesPerToken())
                        .setUpstreamReady(mReadiness.upstreamReady());
        for (Map.Entry<String, RankLoad> rank : mScheduler.queuedByRank().entrySet()) {
            hint.addRanks(
                    org.tanagergap.protocol.v1.RankLoad.newBuilder()
                            .setRank(rank.getKey())
                            .setQueued(rank.getValue().queued())
                            .setQueuedTokens(rank.getValue().queuedTokens()));
        }
        if (prefixes.revision() != knownPrefixRevision) {
            hint.addAllPrefixHashes(prefixes.hashes());
        }
        return hint.build();
    }
}
