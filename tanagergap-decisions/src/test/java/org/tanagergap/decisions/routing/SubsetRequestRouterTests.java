package org.tanagergap.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.scheduling.PrefillBacklog;
import org.tanagergap.testing.PausedClock;

class SubsetRequestRouterTests {

    private final PausedClock mClock = new PausedClock();
    private final SubsetRequestRouter mRouter =
            new SubsetRequestRouter(mClock, RouterSettings.defaults("d1"), new Random(7));
    private int mNext;

    @BeforeEach
    void setUp() {
        useAgents(3);
    }

    private void useAgents(int count) {
        List<AgentEndpoint> agents = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            agents.add(new AgentEndpoint("a" + i, "chat", "h" + i + ":1", "d1"));
        }
        mRouter.replaceAgents(agents);
        agents.forEach(agent -> mRouter.hintReceived(agent.name(), hint(0)));
    }

    private static LoadHint hint(long queued) {
        return hint(queued, 1_000_000, false, Set.of(), 1);
    }

    private static LoadHint hint(
            long queued, long free, boolean draining, Set<String> prefixes, long version) {
        return new LoadHint(
                1_000_000,
                free,
                new PrefillBacklog(queued, 0, 0),
                20_000,
                Map.of(),
                draining,
                true,
                Duration.ZERO,
                prefixes,
                version);
    }

    private RoutingRequest request(long prompt, String prefix, String key, Set<String> excluded) {
        return new RoutingRequest(
                new AttemptId("r" + mNext++),
                "chat",
                0,
                new RequestCost(prompt, prompt == 0 ? 0 : 100),
                Optional.ofNullable(prefix),
                Optional.ofNullable(key),
                excluded);
    }

    private String choose() {
        return choose(1_000);
    }

    private String choose(long prompt) {
        return mRouter.choose(request(prompt, null, null, Set.of())).orElseThrow().name();
    }

    @Nested
    class Choice {

        @Test
        void theAgentWithTheShortestQueueIsChosen() {
            mRouter.hintReceived("a0", hint(50_000));
            mRouter.hintReceived("a2", hint(50_000));
            assertThat(choose()).isEqualTo("a1");
        }

        /** Guards against sending all requests between two hints to the same agent. */
        @Test
        void requestsSentSinceTheHintCountImmediately() {
            Map<String, Integer> counts = new HashMap<>();
            for (int i = 0; i < 300; i++) {
                counts.merge(choose(), 1, Integer::sum);
            }
            assertThat(counts).containsExactly("a0", 100, "a1", 100, "a2", 100);
        }

        /** Guards against load that is counted twice or never removed. */
        @Test
        void endedAttemptsAndThoseIncludedInAHintAreNotCounted() {
            RoutingRequest large = request(90_000, null, null, Set.of("a1", "a2"));
            mRouter.choose(large);
            mRouter.hintReceived("a1", hint(10_000));
            mRouter.hintReceived("a2", hint(10_000));
            assertThat(choose(8_000)).isNotEqualTo("a0");
            mRouter.attemptEnded(large.attemptId());
            assertThat(choose(8_000)).isEqualTo("a0");
            mRouter.choose(request(90_000, null, null, Set.of("a1", "a2")));
            mClock.advance(Duration.ofMillis(50));
            List.of("a1", "a2").forEach(name -> mRouter.hintReceived(name, hint(10_000)));
            mRouter.hintReceived("a0", hint(0));
            assertThat(choose(8_000)).isEqualTo("a0");
        }

        /** Guards against short prompts that avoid an agent whose long prompts yield to them. */
        @Test
        void longerPromptsAreNotCountedAsWorkBeforeAShortOne() {
            mRouter.choose(request(100_000, null, null, Set.of("a1", "a2")));
            mRouter.hintReceived("a1", hint(10_000));
            mRouter.hintReceived("a2", hint(10_000));
            assertThat(choose(1_000)).isEqualTo("a0");
            assertThat(choose(200_000)).isNotEqualTo("a0");
        }

        @Test
        void anAgentOfAnotherFailureDomainNeedsAnAdvantage() {
            mRouter.replaceAgents(
                    List.of(
                            new AgentEndpoint("far", "chat", "f:1", "d2"),
                            new AgentEndpoint("near", "chat", "n:1", "d1")));
            mRouter.hintReceived("far", hint(0));
            mRouter.hintReceived("near", hint(100));
            assertThat(choose()).isEqualTo("near");
            mRouter.hintReceived("near", hint(5_000));
            assertThat(choose()).isEqualTo("far");
        }

        @Test
        void anOldHintLosesAgainstARecentOne() {
            mClock.advance(Duration.ofSeconds(5));
            mRouter.hintReceived("a1", hint(1_000));
            assertThat(choose()).isEqualTo("a1");
        }

        @Test
        void missingMemoryCountsAsWait() {
            mRouter.hintReceived("a0", hint(0, 0, false, Set.of(), 1));
            mRouter.hintReceived("a1", hint(0, 0, false, Set.of(), 1));
            RoutingRequest medium = request(50_000, null, null, Set.of());
            assertThat(mRouter.choose(medium).orElseThrow().name()).isEqualTo("a2");
        }

        /** Guards against affinity that is lost in a large subset or outweighs any load. */
        @Test
        void theAgentThatCachesThePrefixIsPreferredUnlessItIsBusy() {
            useAgents(50);
            mRouter.hintReceived("a33", hint(0, 1_000_000, false, Set.of("p"), 1));
            RoutingRequest first = request(7_000, "p", null, Set.of());
            assertThat(mRouter.choose(first).orElseThrow().name()).isEqualTo("a33");
            mRouter.hintReceived("a33", hint(90_000, 1_000_000, false, Set.of("p"), 1));
            RoutingRequest second = request(7_000, "p", null, Set.of());
            assertThat(mRouter.choose(second).orElseThrow().name()).isNotEqualTo("a33");
        }

        /** Guards against prompts that are spread over agents until a hint reports their prefix. */
        @Test
        void aPrefixStaysWithItsAgentBeforeAHintReportsIt() {
            RoutingRequest first = request(4_000, "p", null, Set.of());
            String agent = mRouter.choose(first).orElseThrow().name();
            mRouter.attemptEnded(first.attemptId());
            for (int i = 0; i < 20; i++) {
                RoutingRequest next = request(4_000, "p", null, Set.of());
                assertThat(mRouter.choose(next).orElseThrow().name()).isEqualTo(agent);
                mRouter.attemptEnded(next.attemptId());
            }
        }

        @Test
        void excludedAgentsAreNotChosen() {
            for (int i = 0; i < 50; i++) {
                RoutingRequest request = request(1_000, null, null, Set.of("a0", "a1"));
                assertThat(mRouter.choose(request).orElseThrow().name()).isEqualTo("a2");
            }
            Set<String> all = Set.of("a0", "a1", "a2");
            assertThat(mRouter.choose(request(1_000, null, null, all))).isEmpty();
        }

        /** Guards against keys that move although their agent stays. */
        @Test
        void anAffinityKeyMovesOnlyWhenItsAgentDrains() {
            useAgents(10);
            Map<String, String> before = chooseByKeys();
            assertThat(new HashSet<>(before.values())).hasSize(10);
            mRouter.hintReceived("a4", hint(0, 1, true, Set.of(), 1));
            Map<String, String> after = chooseByKeys();
            before.forEach(
                    (key, agent) -> {
                        if (!agent.equals("a4")) {
                            assertThat(after).containsEntry(key, agent);
                        }
                    });
            assertThat(after.values()).doesNotContain("a4");
        }

        private Map<String, String> chooseByKeys() {
            Map<String, String> chosen = new HashMap<>();
            for (int i = 0; i < 200; i++) {
                RoutingRequest request = request(0, null, "key" + i, Set.of());
                chosen.put("key" + i, mRouter.choose(request).orElseThrow().name());
            }
            return chosen;
        }
    }

    @Nested
    class Liveness {

        /** Guards against work sent to a draining agent. */
        @Test
        void aDrainingAgentReceivesNoWorkUntilItIsReady() {
            mRouter.hintReceived("a0", hint(0, 1_000_000, true, Set.of(), 1));
            for (int i = 0; i < 50; i++) {
                assertThat(choose()).isNotEqualTo("a0");
            }
            mRouter.hintReceived("a0", hint(0));
            assertThat(choose()).isEqualTo("a0");
        }

        /** Guards against requests sent to an unreachable agent. */
        @Test
        void anUnreachableAgentIsProbedWithBackoff() {
            mClock.advance(Duration.ofMillis(1));
            mRouter.connectionFailed("a0");
            assertThat(choose()).isAnyOf("a0", "a1", "a2");
            mRouter.connectionFailed("a0");
            for (int i = 0; i < 50; i++) {
                assertThat(choose()).isNotEqualTo("a0");
            }
            List<Long> probesMillis = new ArrayList<>();
            long waited = 0;
            for (int ms = 0; ms < 40_000; ms += 100) {
                mClock.advance(Duration.ofMillis(100));
                waited += 100;
                if (mRouter.exchangeDue(1).stream().anyMatch(a -> a.name().equals("a0"))) {
                    probesMillis.add(waited);
                    waited = 0;
                    mRouter.connectionFailed("a0");
                }
            }
            assertThat(probesMillis)
                    .containsExactly(500L, 1_000L, 2_000L, 4_000L, 8_000L, 10_000L, 10_000L)
                    .inOrder();
            mRouter.connectionSucceeded("a0");
            mRouter.hintReceived("a0", hint(0));
            assertThat(choose()).isEqualTo("a0");
        }

        /** Guards against a fleet that stays unavailable because no agent is probed. */
        @Test
        void aRequestProbesWhenNoAgentIsUsable() {
            for (String agent : List.of("a0", "a1", "a2")) {
                mRouter.connectionFailed(agent);
                mRouter.connectionFailed(agent);
            }
            assertThat(mRouter.choose(request(1_000, null, null, Set.of()))).isEmpty();
            mClock.advance(Duration.ofMillis(500));
            assertThat(mRouter.choose(request(1_000, null, null, Set.of()))).isPresent();
        }

        @Test
        void exchangeIsDueForOldHintsAndOldVersions() {
            assertThat(mRouter.exchangeDue(1)).isEmpty();
            assertThat(mRouter.exchangeDue(2)).hasSize(3);
            assertThat(mRouter.exchangeDue(2)).isEmpty();
            mRouter.hintReceived("a0", hint(0, 1, false, Set.of(), 2));
            mClock.advance(Duration.ofMillis(1_999));
            assertThat(mRouter.exchangeDue(2)).hasSize(2);
            mClock.advance(Duration.ofMillis(1));
            assertThat(mRouter.exchangeDue(2)).hasSize(1);
        }

        /** Guards against hints that are lost when the instance list is read again. */
        @Test
        void replacingAgentsKeepsHintsOfThoseThatStayAtTheirAddress() {
            mRouter.hintReceived("a1", hint(7));
            mRouter.replaceAgents(
                    List.of(
                            new AgentEndpoint("a0", "chat", "moved:1", "d1"),
                            new AgentEndpoint("a1", "chat", "h1:1", "d1")));
            assertThat(mRouter.hint("a0")).isEmpty();
            assertThat(mRouter.hint("a1")).hasValue(hint(7));
            assertThat(mRouter.hint("a2")).isEmpty();
            assertThat(mRouter.largestMemoryTokens("chat")).isEqualTo(1_000_000);
        }
    }

    /** Guards against agents that no entry uses, and against small or one-domain subsets. */
    @Test
    void everyAgentIsInASubsetAndEverySubsetCoversAllFailureDomains() {
        List<AgentEndpoint> agents = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            agents.add(new AgentEndpoint("a" + i, "chat", "h" + i + ":1", "d" + i % 3));
        }
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            entries.add("e" + i);
        }
        Set<AgentEndpoint> used = new HashSet<>();
        for (String entry : entries) {
            Set<AgentEndpoint> subset = new SubsetSelector(entry).select(agents, entries);
            assertThat(subset.size()).isAtLeast(12);
            assertThat(subset.size()).isAtMost(20);
            assertThat(subset.stream().map(AgentEndpoint::failureDomain).distinct().count())
                    .isEqualTo(3);
            used.addAll(subset);
        }
        assertThat(used).hasSize(100);
    }
}
