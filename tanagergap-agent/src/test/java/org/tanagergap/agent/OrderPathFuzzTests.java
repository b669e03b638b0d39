package org.tanagergap.agent;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;

/**
 * Sends orders through the retry policy, two agents and the intent log on one paused clock, with
 * random faults that may overlap. Guards against orders that are placed twice, failures that
 * wrongly state {@code not_run}, requests that never end and reservations that are not released.
 * {@code -Dtanagergap.fuzz.histories=n} sets the number of histories.
 */
class OrderPathFuzzTests {

    private static final int STEPS = 40;
    private static final int HISTORIES = Integer.getInteger("tanagergap.fuzz.histories", 2_000);
    private static final long FIRST_SEED = 60_217;

    @Property(seed = "60217", tries = 1, shrinking = ShrinkingMode.OFF)
    void ordersRunAtMostOnceAndEachRequestEndsByItsDeadline(@ForAll("seeds") List<Long> seeds) {
        for (long seed : seeds) {
            runHistory(seed);
        }
    }

    @Provide
    Arbitrary<List<Long>> seeds() {
        return Arbitraries.just(new Random(FIRST_SEED).longs(HISTORIES).boxed().toList());
    }

    private static void runHistory(long seed) {
        Random random = new Random(seed);
        OrderPathModel model = new OrderPathModel(random);
        for (int step = 0; step < STEPS; step++) {
            int agent = random.nextInt(OrderPathModel.AGENTS);
            switch (random.nextInt(14)) {
                case 0, 1, 2, 3 -> model.request("key-" + random.nextInt(6));
                case 4 -> model.pause(agent);
                case 5 -> model.resume(agent);
                case 6 -> model.crash(agent);
                case 7 -> model.store().loseReplies(1 + random.nextInt(3));
                case 8 -> model.store().loseRequests(1 + random.nextInt(3));
                case 9 -> model.store().delayRequests(1 + random.nextInt(3));
                case 10 -> model.store().outage(random.nextBoolean());
                case 11 -> model.advance(500 + random.nextInt(4_000));
                default -> model.advance(1 + random.nextInt(100));
            }
        }
        model.clearFaults();
        List<String> faults = model.violations();
        assertWithMessage("history of seed %s", seed).that(faults).isEmpty();
    }
}
