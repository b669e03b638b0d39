package org.tanagergap.agent.load;

import java.util.Map;
import java.util.function.Supplier;
import org.tanagergap.agent.policy.PolicyTable;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.decisions.scheduling.RankLoad;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;
import org.tanagergap.protocol.v1.Hint;

/** Builds load hints from the agent's present state. */
public final class HintSource implements Supplier<Hint> {

    private final UpstreamScheduler mScheduler;
    private final AgentState mState;
    private final PolicyTable mPolicies;
    private final LoadReports mReports;
    private final PrefixTable mPrefixes;
    private final TokenRatio mRatio;

    public HintSource(
            UpstreamScheduler scheduler,
            AgentState state,
            PolicyTable policies,
            LoadReports reports,
            PrefixTable prefixes,
            TokenRatio ratio) {
        mScheduler = scheduler;
        mState = state;
        mPolicies = policies;
        mReports = reports;
        mPrefixes = prefixes;
        mRatio = ratio;
    }

    @Override
    public Hint get() {
        return since(0);
    }

    /** Hint for an entry that keeps the prefix hashes of the given revision; 0 for none. */
    public Hint since(long knownPrefixRevision) {
        PrefixSnapshot prefixes = mPrefixes.current();
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
                        .setDraining(mState.draining())
                        .setConfigurationVersion(mPolicies.version())
                        .setLoadReportAgeMs(mReports.age().toMillis())
                        .setPrefixRevision(prefixes.revision())
                        .setBytesPerToken(mRatio.bytesPerToken())
                        .setUpstreamReady(mState.upstreamReady());
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
