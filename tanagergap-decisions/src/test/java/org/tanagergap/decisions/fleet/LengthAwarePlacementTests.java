package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.request.RequestCost;

/** Guards the separation of short streams and long prefills. */
final class LengthAwarePlacementTests {

    private static final EngineProfile ENGINE =
            new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 0.075);

    private final PlacementPolicy mPolicy = new LengthAwarePlacement(new Random(1));

    private static PlacementRequest shortPrompt() {
        return new PlacementRequest(new RequestCost(5_000, 1_400), 300, 2_000, 250, 0);
    }

    private static PlacementRequest longPrompt(long tokens) {
        return new PlacementRequest(new RequestCost(tokens, 700), 5_000, 15_000, 1_000, 0);
    }

    /** Load with streams of short prompts; the other streams have a target of 600 ms. */
    private static UpstreamLoad load(
            int running, int shortStreams, int decoding, double prefillMillis, long memoryTokens) {
        StreamTargets targets = StreamTargets.NONE;
        for (int i = 0; i < running; i++) {
            StreamTargets target =
                    i < shortStreams ? StreamTargets.of(250, 1.6) : StreamTargets.of(600, 2.5);
            targets = targets.plus(target);
        }
        return new UpstreamLoad(
                running, targets, decoding, prefillMillis, memoryTokens, StreamTargets.NONE);
    }

    private static UpstreamCandidate engine(String id, UpstreamLoad load) {
        return new UpstreamCandidate(id, ENGINE.slots(), Optional.of(ENGINE), load, 0.1, 1, false);
    }

    private static UpstreamCandidate rateLimitedEngine(String id) {
        return new UpstreamCandidate(
                id, ENGINE.slots(), Optional.of(ENGINE), UpstreamLoad.NONE, 0.1, 1, true);
    }

    private static List<UpstreamCandidate> engines(int count, UpstreamLoad load) {
        List<UpstreamCandidate> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(engine("e" + i, load));
        }
        return engines;
    }

    private Placement place(PlacementRequest request, List<UpstreamCandidate> candidates) {
        return mPolicy.choose(request, candidates).orElseThrow();
    }

    /** An engine that prefills a part of another engine's prompt, which has that much time left. */
    private static UpstreamCandidate helping(String id, double slackMillis) {
        UpstreamLoad load =
                new UpstreamLoad(
                        0, StreamTargets.NONE, 0, 800, 20_000, StreamTargets.of(slackMillis, 3.8));
        return engine(id, load);
    }

    /** Parts of prompts looked free to delay, so that long prompts missed their targets in turn. */
    @Nested
    class PendingPrompts {

        @Test
        void areNotDelayedBeyondTheirTargets() {
            List<UpstreamCandidate> candidates =
                    List.of(helping("a", 1_000), helping("b", 9_000), helping("c", 900));

            Placement placement = place(longPrompt(60_000), candidates);

            assertThat(placement.upstream()).isEqualTo("b");
            assertThat(placement.helpers()).isEmpty();
        }

        @Test
        void areAvoidedByShortPrompts() {
            List<UpstreamCandidate> candidates =
                    List.of(helping("a", 820), helping("b", 9_000), helping("c", 830));

            assertThat(place(shortPrompt(), candidates).upstream()).isEqualTo("b");
        }
    }

    @Nested
    class ShortPrompts {

        /** Floods drew prompts to engines on which they would start after callers had left. */
        @Test
        void avoidEnginesWhoseFirstTokenWouldComeAfterTheCallerHasLeft() {
            PlacementRequest flood =
                    new PlacementRequest(new RequestCost(5_000, 1_400), 300, 2_000, 250, 40);
            List<UpstreamCandidate> candidates = new ArrayList<>();
            candidates.add(engine("free", load(10, 10, 10, 100, 60_000)));
            for (int i = 0; i < 9; i++) {
                candidates.add(engine("long" + i, load(1, 0, 0, 6_000, 150_000)));
            }

            for (int i = 0; i < 50; i++) {
                assertThat(place(flood, candidates).upstream()).isEqualTo("free");
            }
        }

        @Test
        void avoidAnEngineThatPrefillsALongPrompt() {
            UpstreamLoad prefilling = load(1, 0, 0, 1_500, 133_000);
            List<UpstreamCandidate> candidates =
                    List.of(engine("a", prefilling), engine("b", UpstreamLoad.NONE));

            assertThat(place(shortPrompt(), candidates).upstream()).isEqualTo("b");
        }

        @Test
        void shareFewEnginesSoThatOthersStayFreeForLongPrefills() {
            List<UpstreamCandidate> candidates = engines(20, UpstreamLoad.NONE);
            String first = place(shortPrompt(), candidates).upstream();
            UpstreamLoad two = load(2, 2, 2, 0, 12_000);
            List<UpstreamCandidate> later = new ArrayList<>();
            for (UpstreamCandidate candidate : candidates) {
                boolean used = candidate.id().equals(first);
                later.add(used ? engine(first, two) : candidate);
            }

            assertThat(place(shortPrompt(), later).upstream()).isEqualTo(first);
        }

        @Test
        void avoidAnEngineWhoseSlotsAreNearlyFull() {
            UpstreamLoad full = load(10, 10, 10, 0, 60_000);
            List<UpstreamCandidate> candidates =
                    List.of(engine("a", full), engine("b", UpstreamLoad.NONE));

            assertThat(place(shortPrompt(), candidates).upstream()).isEqualTo("b");
        }

        @Test
        void waitWhenEverySlotIsTaken() {
            UpstreamLoad full = load(11, 11, 11, 0, 60_000);

            assertThat(mPolicy.choose(shortPrompt(), engines(3, full))).isEmpty();
        }

        @Test
        void waitWhenNoEngineHasMemory() {
            UpstreamLoad full = load(2, 0, 0, 0, 225_000);

            assertThat(mPolicy.choose(shortPrompt(), engines(3, full))).isEmpty();
        }

        @Test
        void avoidASlowEngine() {
            UpstreamCandidate slow =
                    new UpstreamCandidate(
                            "a", 11, Optional.of(ENGINE), UpstreamLoad.NONE, 0.1, 8, false);

            Placement placement =
                    place(shortPrompt(), List.of(slow, engine("b", UpstreamLoad.NONE)));

            assertThat(placement.upstream()).isEqualTo("b");
        }
    }

    @Nested
    class LongPrompts {

        /** An engine that limits its requests has few of them and looks idle. */
        @Test
        void avoidEnginesThatLimitTheirRequests() {
            UpstreamLoad streams = load(1, 0, 1, 0, 18_000);
            List<UpstreamCandidate> candidates = new ArrayList<>(engines(4, streams));
            candidates.add(rateLimitedEngine("limited"));

            Placement placement = place(longPrompt(45_000), candidates);

            assertThat(placement.upstream()).isNotEqualTo("limited");
            assertThat(placement.helpers()).doesNotContain("limited");
        }

        @Test
        void useAnEngineThatLimitsItsRequestsIfThereIsNoOther() {
            Placement placement = place(longPrompt(45_000), List.of(rateLimitedEngine("limited")));

            assertThat(placement.upstream()).isEqualTo("limited");
        }

        @Test
        void avoidEnginesWithShortStreams() {
            UpstreamLoad streams = load(3, 3, 3, 0, 18_000);
            List<UpstreamCandidate> candidates = new ArrayList<>(engines(6, streams));
            candidates.add(engine("free", UpstreamLoad.NONE));

            Placement placement = place(longPrompt(133_000), candidates);

            assertThat(placement.upstream()).isEqualTo("free");
            assertThat(placement.helpers()).isEmpty();
        }

        @Test
        void waitWhileTheyWouldDelayEveryStream() {
            UpstreamLoad streams = load(9, 9, 9, 60, 60_000);

            assertThat(mPolicy.choose(longPrompt(200_000), engines(4, streams))).isEmpty();
        }

        /**
         * Guards against a long prompt that waits past its deadline under an overload of short
         * ones.
         */
        @Test
        void arePlacedWhenTheirDeadlineIsNear() {
            UpstreamLoad streams = load(9, 9, 9, 60, 20_000);
            PlacementRequest late =
                    new PlacementRequest(new RequestCost(100_000, 700), -3_000, 1_800, 1_000, 0);

            assertThat(mPolicy.choose(late, engines(4, streams))).isPresent();
        }

        @Test
        void areSplitWhenOneEngineWouldTakeTooLong() {
            Placement placement = place(longPrompt(200_000), engines(12, UpstreamLoad.NONE));

            assertThat(placement.helpers()).isNotEmpty();
            assertThat(placement.reservedTokensPerHelper()).isEqualTo(0);
        }

        @Test
        void reserveMemoryWhenTheyExceedOneEngine() {
            RequestCost cost = new RequestCost(500_000, 700);
            PlacementRequest request = new PlacementRequest(cost, 5_000, 15_000, 1_000, 0);

            Placement placement = place(request, engines(12, UpstreamLoad.NONE));

            long helpers = placement.helpers().size();
            assertThat(placement.helpers()).doesNotContain(placement.upstream());
            assertThat(placement.helpers()).containsNoDuplicates();
            assertThat(
                            placement.reservedTokensPerHelper() * helpers
                                    + placement.costAt(placement.upstream(), cost).memoryTokens())
                    .isAtLeast(cost.memoryTokens());
            assertThat(placement.costAt(placement.upstream(), cost).memoryTokens())
                    .isLessThan(ENGINE.memoryTokens());
        }

        @Test
        void waitWhenAllEnginesTogetherLackMemory() {
            assertThat(mPolicy.choose(longPrompt(500_000), engines(2, UpstreamLoad.NONE)))
                    .isEmpty();
        }
    }

    /**
     * Guards against instances that order engines differently and so mix long prefills with short
     * streams.
     */
    @Test
    void theOrderOfCandidatesDoesNotMatter() {
        List<UpstreamCandidate> candidates = engines(9, UpstreamLoad.NONE);
        List<UpstreamCandidate> reversed = new ArrayList<>(candidates);
        Collections.reverse(reversed);

        assertThat(place(longPrompt(50_000), candidates).upstream())
                .isEqualTo(place(longPrompt(50_000), reversed).upstream());
    }
}
