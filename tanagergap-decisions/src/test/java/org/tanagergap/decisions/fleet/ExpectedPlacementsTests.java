package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against instances that all choose the engines that looked cheapest in old reports. */
final class ExpectedPlacementsTests {

    private static final int DRAWS = 1_000;

    private final Random mRandom = new Random(1);

    /** Draws among an engine with one free slot and an engine with four, at equal cost so far. */
    private int drawsOfNearlyFullEngine(double unreported) {
        int drawn = 0;
        for (int i = 0; i < DRAWS; i++) {
            int engine =
                    ExpectedPlacements.draw(
                            2,
                            unreported,
                            (e, others) ->
                                    ShortPromptCost.slotsTakenRisk(e == 0 ? 1 : 4, others)
                                            + (e == 0 ? 0 : 0.01),
                            mRandom);
            drawn += engine == 0 ? 1 : 0;
        }
        return drawn;
    }

    @Test
    void theCheapestEngineIsChosenIfOthersPlaceNothing() {
        assertThat(drawsOfNearlyFullEngine(0)).isEqualTo(DRAWS);
    }

    @Test
    void anEngineWithOneFreeSlotGetsFewerRequestsThanOneWithFour() {
        assertThat(drawsOfNearlyFullEngine(4)).isLessThan(DRAWS / 4);
    }

    @Test
    void slotsAreTakenMoreLikelyTheFewerAreFree() {
        assertThat(ShortPromptCost.slotsTakenRisk(1, 0)).isEqualTo(0.0);
        assertThat(ShortPromptCost.slotsTakenRisk(1, 1)).isWithin(1e-6).of(1 - Math.exp(-1));
        assertThat(ShortPromptCost.slotsTakenRisk(4, 1)).isLessThan(0.02);
    }

    /** The age was assumed to be 100 ms when reports were lost as well. */
    @Test
    void unreportedPlacementsGrowWithTheAgeOfReports() {
        FleetLoad load = new FleetLoad();
        load.peerReported("peer", Map.of(), 0);
        ConcurrentPlacements placements = new ConcurrentPlacements(() -> 2, load::reportAges);
        for (int i = 0; i < 20; i++) {
            placements.placed(0);
        }

        assertThat(unreportedAfter(placements, 50)).isWithin(1e-6).of(1);
        assertThat(unreportedAfter(placements, 950)).isWithin(1e-6).of(10);
        // The report is outdated, and the peer may have no process any more.
        assertThat(unreportedAfter(placements, 1_600)).isWithin(1e-6).of(1);
    }

    private static double unreportedAfter(ConcurrentPlacements placements, long millis) {
        return placements.unreported(Duration.ofMillis(millis).toNanos());
    }
}
