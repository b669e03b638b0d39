package org.tanagergap.decisions.ratelimit;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Plays a limited upstream before instances that crash, start and freeze. */
final class SharedRateLimitsPropertyTests {

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final int ROUNDS = 20;

    /** Reports lost in a row make instances disagree about the issuer. */
    private static final double LOSS = 0.2;

    /** Guards upstreams against two issuers at a time; the bound is that of the platform. */
    @Property(tries = 60, seed = "2212")
    void theLimitHoldsWhileInstancesComeAndGo(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 12) int count,
            @ForAll @DoubleRange(min = 0.1, max = 30) double limit) {
        Random random = new Random(seed);
        SimulatedInstances instances = new SimulatedInstances(count, random, LOSS);
        instances.run(Duration.ofSeconds(4), i -> false);
        instances.advertise(limit);
        instances.run(Duration.ofMillis(500), i -> random.nextInt(10) == 0);
        long learned = instances.nanos();

        for (int round = 0; round < ROUNDS; round++) {
            disturb(instances, random);
            Duration time = Duration.ofMillis(200 + random.nextInt(2000));
            instances.run(time, i -> random.nextInt(10) == 0);
        }

        assertWithMessage("requests in 4 s at a limit of %s", limit)
                .that(instances.largestWindow(learned, WINDOW))
                .isAtMost((int) (1.5 * 4 * limit + 5));
    }

    private static void disturb(SimulatedInstances instances, Random random) {
        List<SimulatedInstances.Instance> present = instances.instances();
        SimulatedInstances.Instance one = present.get(random.nextInt(present.size()));
        switch (random.nextInt(5)) {
            case 0 -> {
                instances.start();
                instances.kill(one);
            }
            case 1 -> instances.start();
            case 2 -> one.freeze(true);
            default -> present.forEach(instance -> instance.freeze(false));
        }
    }
}
