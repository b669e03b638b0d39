package org.tanagergap.decisions.ratelimit;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.function.IntPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards cold upstreams against more requests in a second than they sustain. */
final class ColdUpstreamTests {

    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration COLD = Duration.ofSeconds(3);
    private static final int BOUND = 44;
    private static final ColdStartLimit LIMIT = new ColdStartLimit(COLD, 26, BOUND);
    private static final String UPSTREAM = SimulatedInstances.UPSTREAM;

    private final Random mRandom = new Random(11);
    private int mStep;

    private SimulatedInstances instances(int count, double loss) {
        SimulatedInstances instances = new SimulatedInstances(count, mRandom, loss);
        instances.run(Duration.ofSeconds(4), i -> false);
        return instances;
    }

    /** Heartbeats come every 1.2 s and say how long the upstream stays cold. */
    private int runCold(SimulatedInstances instances, long periodMillis) {
        int sent = 0;
        for (long left = COLD.toMillis(); left > 0; left -= 1200) {
            instances.cold(Duration.ofMillis(left), LIMIT);
            sent += instances.run(Duration.ofMillis(Math.min(left, 1200)), wave(periodMillis));
        }
        return sent;
    }

    /** Makes all instances send requests in one step of each period. */
    private IntPredicate wave(long periodMillis) {
        return instance -> {
            mStep += instance == 0 ? 1 : 0;
            return mStep % (periodMillis / 10) == 0;
        };
    }

    @ParameterizedTest
    @CsvSource({"1, 10", "9, 10", "30, 10", "30, 100", "30, 500"})
    void wavesOfRequestsStayWithinTheBoundDespiteLostMessages(int count, long periodMillis) {
        SimulatedInstances instances = instances(count, 0.2);
        instances.requestsPerStep(100 / count + 1);

        int sent = runCold(instances, periodMillis);

        assertThat(instances.largestWindow(0, SECOND)).isAtMost(BOUND / 2);
        assertThat(sent).isAtLeast(periodMillis == 500 ? 1 : 15);
    }

    /** Each group has an issuer of its own; a group of one has no peer at all. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 30})
    void groupsThatDoNotHearFromEachOtherStayWithinTheBoundTogether(int groups) {
        SimulatedInstances instances = new SimulatedInstances(30, mRandom, 0);
        instances.split(groups);
        instances.run(Duration.ofSeconds(4), i -> false);
        instances.requestsPerStep(4);

        runCold(instances, 10);

        assertThat(instances.largestWindow(0, SECOND)).isAtMost(BOUND);
    }

    /** Permits on their way to a frozen instance are used late, and a new issuer may follow. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theBoundHoldsWhileInstancesFreezeAndEnd(long seed) {
        mRandom.setSeed(seed);
        SimulatedInstances instances = instances(9, 0.2);
        instances.requestsPerStep(12);

        for (int round = 0; round < 20; round++) {
            var present = instances.instances();
            var one = present.get(mRandom.nextInt(present.size()));
            switch (mRandom.nextInt(4)) {
                case 0 -> instances.kill(one);
                case 1 -> one.freeze(true);
                default -> present.forEach(instance -> instance.freeze(false));
            }
            if (instances.instances().size() < 5) {
                instances.start();
            }
            instances.cold(COLD, LIMIT);
            instances.run(Duration.ofMillis(100 + mRandom.nextInt(900)), i -> true);
        }

        assertThat(instances.largestWindow(0, SECOND)).isAtMost(BOUND);
    }

    @Test
    void theLoadReturnsInStepsWithinASecondAfterTheEnd() {
        SimulatedInstances instances = instances(30, 0);
        instances.requestsPerStep(4);
        runCold(instances, 10);

        int first = instances.run(Duration.ofMillis(250), i -> true);
        int second = instances.run(Duration.ofMillis(250), i -> true);
        int third = instances.run(Duration.ofMillis(250), i -> true);
        instances.run(Duration.ofMillis(250), i -> true);
        int unlimited = instances.run(Duration.ofMillis(10), i -> true);

        assertThat(first).isAtMost(BOUND / 2);
        assertThat(second).isAtLeast(first);
        assertThat(third).isGreaterThan(second);
        assertThat(third).isAtMost(3 * BOUND);
        assertThat(unlimited).isEqualTo(120);
    }

    /** An entry that was written before the response would end the cold period too early. */
    @Test
    void anEntryDoesNotShortenWhatAResponseHasJustSaid() {
        SharedRateLimits limits = new SimulatedInstances(1, mRandom, 0).start().limits();

        limits.coldObserved(UPSTREAM, COLD, Optional.of(LIMIT), true, 0);
        limits.coldObserved(UPSTREAM, Duration.ZERO, Optional.of(LIMIT), false, SECOND.toNanos());

        assertThat(limits.coldRemaining(UPSTREAM, SECOND.toNanos()))
                .hasValue(Duration.ofSeconds(2));
    }

    @Test
    void anUpstreamThatIsWarmOrBearsAnyLoadNeedsNoPermit() {
        SharedRateLimits limits = new SimulatedInstances(1, mRandom, 0).start().limits();

        limits.coldObserved(UPSTREAM, Duration.ZERO, Optional.of(LIMIT), false, 0);
        limits.coldObserved("other@1", COLD, Optional.empty(), false, 0);

        assertThat(limits.maySend(UPSTREAM, 0)).isTrue();
        assertThat(limits.maySend("other@1", 0)).isTrue();
    }

    /** The cold period of an upstream that is gone kept the exchange of permits going. */
    @Test
    void nothingIsKnownOfAnUpstreamThatIsGone() {
        SharedRateLimits limits = new SharedRateLimits("a", new SimulatedInstances.NoListener(), 0);
        limits.coldObserved(UPSTREAM, COLD, Optional.of(LIMIT), false, 0);
        assertThat(limits.isActive()).isTrue();

        limits.remove(UPSTREAM);

        assertThat(limits.isActive()).isFalse();
        assertThat(limits.coldRemaining(UPSTREAM, 0).isPresent()).isFalse();
    }
}
