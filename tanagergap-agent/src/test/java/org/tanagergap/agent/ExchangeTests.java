package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.tanagergap.agent.engine.CacheEvent;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.decisions.scheduling.EnginePriority;
import org.tanagergap.protocol.v1.ExchangeReply;
import org.tanagergap.protocol.v1.ExchangeRequest;
import org.tanagergap.protocol.v1.Hint;
import org.tanagergap.protocol.v1.PolicyStamp;
import org.tanagergap.protocol.v1.RankPolicy;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.protocol.v1.UpstreamPolicy;

/**
 * Guards against an older configuration that replaces a newer one, and against wrong load hints.
 */
class ExchangeTests {

    private final FakeEngine mEngine = new FakeEngine();
    private final AgentFixture mFixture = AgentFixture.ofEngine(mEngine);

    @Test
    void onlyHigherVersionsAreApplied() {
        assertThat(exchange(7, 120).getHint().getMemoryTokensTotal()).isEqualTo(120);
        assertThat(exchange(6, 500).getHint().getMemoryTokensTotal()).isEqualTo(120);
        assertThat(exchange(7, 500).getHint().getMemoryTokensTotal()).isEqualTo(120);
        ExchangeReply reply = exchange(8, 130);
        assertThat(reply.getHint().getMemoryTokensTotal()).isEqualTo(130);
        assertThat(reply.getConfigurationVersion()).isEqualTo(8);
    }

    @Test
    void aVersionWithoutRanksIsNotApplied() {
        ExchangeReply reply =
                mFixture.mAgent
                        .rpcHandler()
                        .exchange(ExchangeRequest.newBuilder().setConfigurationVersion(9).build())
                        .result();
        assertThat(reply.getConfigurationVersion()).isEqualTo(0);
    }

    @Test
    void theMemoryReportedByTheEngineLimitsTheConfiguredMemory() {
        // The fake engine reports 1,000 tokens.
        assertThat(exchange(7, 5_000).getHint().getMemoryTokensTotal()).isEqualTo(1_000);
    }

    @Test
    void aStampOfAnOlderVersionDoesNotRevertThePolicy() {
        run("a.1", 5, 2);
        run("a.2", 4, 9);
        run("a.3", 6, 3);
        assertThat(mEngine.mCompletions.stream().map(c -> c.priority()).toList())
                .containsExactly(shortPriority(2), shortPriority(2), shortPriority(3))
                .inOrder();
    }

    private static int shortPriority(int rankPriority) {
        return EnginePriority.of(rankPriority, LengthBand.SHORT);
    }

    @Test
    void gapsInCacheEventsAreCountedAndTolerated() {
        mEngine.mCacheEmitter.emit(new CacheEvent(1, true, "p1"));
        mEngine.mCacheEmitter.emit(new CacheEvent(2, true, "p2"));
        mEngine.mCacheEmitter.emit(new CacheEvent(5, false, "p1"));
        mEngine.mCacheEmitter.emit(new CacheEvent(3, true, "p1"));
        assertThat(exchange(1, 100).getHint().getPrefixHashesList()).containsExactly("p2");
        assertThat(mFixture.counter("agent_cache_event_gaps_total")).isEqualTo(1);
    }

    @Test
    void theHintListsAtMostThirtyTwoPrefixes() {
        for (int i = 0; i < 100; i++) {
            mEngine.mCacheEmitter.emit(new CacheEvent(i, true, "p" + i));
        }
        assertThat(exchange(1, 100).getHint().getPrefixHashesList()).hasSize(32);
    }

    /**
     * Guards against sending 32 hashes in each exchange, and against entries that miss a change.
     */
    @Test
    void prefixesAreSentOnlyWhenTheEntryHasAnotherRevision() {
        mEngine.mCacheEmitter.emit(new CacheEvent(1, true, "p1"));
        Hint first = exchangeWithRevision(0);
        assertThat(first.getPrefixHashesList()).containsExactly("p1");
        long revision = first.getPrefixRevision();
        Hint second = exchangeWithRevision(revision);
        assertThat(second.getPrefixHashesList()).isEmpty();
        assertThat(second.getPrefixRevision()).isEqualTo(revision);
        mEngine.mCacheEmitter.emit(new CacheEvent(2, true, "p1"));
        assertThat(exchangeWithRevision(revision).getPrefixRevision()).isEqualTo(revision);
        mEngine.mCacheEmitter.emit(new CacheEvent(3, true, "p2"));
        assertThat(exchangeWithRevision(revision).getPrefixHashesList())
                .containsExactly("p1", "p2");
        mEngine.mCacheEmitter.emit(new CacheEvent(4, false, "p2"));
        assertThat(exchangeWithRevision(revision).getPrefixHashesList()).containsExactly("p1");
    }

    /** Guards against sending 32 hashes in two events of each request. */
    @Test
    void theEventsOfAnAttemptLeaveOutKnownPrefixes() {
        mEngine.mCacheEmitter.emit(new CacheEvent(1, true, "p1"));
        RunRequest.Builder request = AgentFixture.completion("a.1");
        request.getCompletionBuilder().clearPrefixHash();
        RecordingSink first = new RecordingSink();
        mFixture.mAgent.rpcHandler().run(request.build(), first);
        mEngine.finish("a.1", 0);
        Hint hint = first.mEvents.get(0).getHint();
        assertThat(hint.getPrefixHashesList()).containsExactly("p1");
        assertThat(first.last().getHint().getPrefixHashesList()).isEmpty();
        request.setAttemptId("a.2").setKnownPrefixRevision(hint.getPrefixRevision());
        RecordingSink second = new RecordingSink();
        mFixture.mAgent.rpcHandler().run(request.build(), second);
        assertThat(second.mEvents.get(0).getHint().getPrefixHashesList()).isEmpty();
        mEngine.mCacheEmitter.emit(new CacheEvent(2, true, "p2"));
        mEngine.finish("a.2", 0);
        assertThat(second.last().getHint().getPrefixHashesList()).containsExactly("p1", "p2");
    }

    private Hint exchangeWithRevision(long revision) {
        return mFixture.mAgent
                .rpcHandler()
                .exchange(ExchangeRequest.newBuilder().setKnownPrefixRevision(revision).build())
                .result()
                .getHint();
    }

    private ExchangeReply exchange(long version, long memoryTokens) {
        ExchangeRequest request =
                ExchangeRequest.newBuilder()
                        .setConfigurationVersion(version)
                        .addRanks(RankPolicy.newBuilder().setName("urgent").setPriority(1))
                        .setUpstream(
                                UpstreamPolicy.newBuilder()
                                        .setName("engine-1")
                                        .setMemoryTokens(memoryTokens))
                        .build();
        return mFixture.mAgent.rpcHandler().exchange(request).result();
    }

    private void run(String attempt, long version, int priority) {
        RunRequest.Builder request = AgentFixture.completion(attempt);
        PolicyStamp.Builder policy = request.getPolicyBuilder();
        policy.setConfigurationVersion(version).setRankPriority(priority);
        mFixture.mAgent.rpcHandler().run(request.build(), new RecordingSink());
        mEngine.finish(attempt, 0);
    }
}
