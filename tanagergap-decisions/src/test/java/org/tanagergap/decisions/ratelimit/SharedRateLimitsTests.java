package org.tanagergap.decisions.ratelimit;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards upstreams against more requests than they advertise, and limits against waste. */
final class SharedRateLimitsTests {

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final String UPSTREAM = SimulatedInstances.UPSTREAM;

    private final Random mRandom = new Random(7);

    private SimulatedInstances instances(int count) {
        SimulatedInstances instances = new SimulatedInstances(count, mRandom, 0);
        // Until the instances know each other and may issue permits.
        instances.run(Duration.ofSeconds(4), i -> false);
        return instances;
    }

    /** Returns whether an instance has a request, with 5 requests per second on average. */
    private boolean sometimes(int instance) {
        return mRandom.nextInt(20) == 0;
    }

    @Nested
    class Sharing {

        @ParameterizedTest
        @ValueSource(ints = {1, 4, 25, 100})
        void instancesTogetherKeepALimitBelowTheirNumber(int count) {
            SimulatedInstances instances = instances(count);
            instances.advertise(1);
            instances.run(Duration.ofMillis(200), i -> i == 0);
            long learned = instances.nanos();

            instances.run(Duration.ofSeconds(20), SharedRateLimitsTests.this::sometimes);

            assertThat(instances.largestWindow(learned, WINDOW)).isAtMost(6);
            assertThat(instances.largestWindow(learned, Duration.ofSeconds(20))).isAtLeast(10);
        }

        @Test
        void permitsThatWereNotUsedAreNotUsedTogetherLater() {
            SimulatedInstances instances = instances(25);
            instances.advertise(1);
            instances.run(Duration.ofMillis(200), i -> i == 0);
            instances.preferOthers(true);
            instances.run(Duration.ofSeconds(30), i -> true);
            instances.preferOthers(false);

            instances.run(Duration.ofSeconds(4), i -> true);

            assertThat(instances.largestWindow(0, WINDOW)).isAtMost(6);
        }

        @ParameterizedTest
        @ValueSource(doubles = {0.5, 3, 40})
        void oneBusyInstanceGetsTheWholeLimit(double limit) {
            SimulatedInstances instances = instances(4);
            instances.advertise(limit);
            instances.run(Duration.ofMillis(50), i -> i == 0);

            int sent = instances.run(Duration.ofSeconds(20), i -> i == 0);

            assertThat(sent).isAtLeast((int) (0.8 * 20 * limit));
            assertThat(sent).isAtMost((int) (1.1 * 20 * limit + 2));
        }

        @Test
        void anInstanceThatHasSentNothingKnowsTheLimit() {
            SimulatedInstances instances = instances(3);
            instances.advertise(2);

            instances.run(Duration.ofMillis(200), i -> i == 0);

            assertThat(instances.instances().get(2).limits().limits())
                    .containsExactly(UPSTREAM, 2.0);
        }

        @Test
        void aLimitIsNotExceededWhenItsIssuerIsLost() {
            SimulatedInstances instances = instances(6);
            instances.advertise(5);
            instances.run(Duration.ofMillis(200), i -> i == 0);
            long learned = instances.nanos();

            for (int i = 0; i < 4; i++) {
                instances.run(Duration.ofSeconds(2), j -> true);
                instances.kill(instances.instances().get(0));
                instances.start();
            }
            instances.kill(instances.instances().get(0));
            int sent = instances.run(Duration.ofSeconds(10), j -> true);

            assertThat(instances.largestWindow(learned, WINDOW)).isAtMost(28);
            assertThat(sent).isAtLeast(35);
        }
    }

    @Nested
    class Learning {

        @Test
        void aLowerLimitAppliesAtOnce() {
            SimulatedInstances instances = instances(4);
            instances.advertise(100);
            instances.run(Duration.ofSeconds(3), i -> true);
            instances.advertise(1);
            instances.run(Duration.ofMillis(300), i -> true);
            long learned = instances.nanos();

            instances.run(Duration.ofSeconds(6), i -> true);

            assertThat(instances.largestWindow(learned, WINDOW)).isAtMost(6);
        }

        /** Upstreams that adapt their limit advertise another one in each response. */
        @ParameterizedTest
        @ValueSource(doubles = {0.5, 3, 40})
        void aLimitThatVariesALittleIsUsed(double limit) {
            SimulatedInstances instances = instances(4);
            instances.advertise(limit);
            instances.run(Duration.ofMillis(50), i -> i == 0);

            int sent = 0;
            for (int i = 0; i < 2000; i++) {
                instances.advertise(limit * (1 + 0.1 * mRandom.nextDouble()));
                sent += instances.run(Duration.ofMillis(10), j -> j == 0);
            }

            assertThat(sent).isAtLeast((int) (0.8 * 20 * limit));
            assertThat(sent).isAtMost((int) (1.2 * 20 * limit + 2));
        }

        @Test
        void aHigherLimitIsUsed() {
            SimulatedInstances instances = instances(4);
            instances.advertise(1);
            instances.run(Duration.ofSeconds(3), i -> true);
            instances.advertise(20);
            instances.run(Duration.ofSeconds(2), i -> true);

            assertThat(instances.run(Duration.ofSeconds(4), i -> true)).isAtLeast(60);
        }

        @Test
        void theEndOfALimitIsNoticedAtAllInstances() {
            SimulatedInstances instances = instances(4);
            instances.advertise(0);
            instances.run(Duration.ofSeconds(3), i -> true);
            instances.advertiseNothing();
            instances.run(Duration.ofSeconds(6), i -> i == 0);

            for (SimulatedInstances.Instance instance : instances.instances()) {
                assertThat(instance.limits().limits()).isEmpty();
            }
        }

        @Test
        void aResponseThatShowsNoLimitEitherWayChangesNothing() {
            SimulatedInstances instances = instances(2);
            instances.advertise(1);
            instances.run(Duration.ofMillis(200), i -> true);
            instances.advertise(new RateLimitNotice.Unknown());
            instances.run(Duration.ofSeconds(3), i -> true);

            assertThat(instances.instances().get(0).limits().isLimited(UPSTREAM)).isTrue();
        }

        @Test
        void aLateReportDoesNotReviveAnEndedLimit() {
            SimulatedInstances instances = instances(2);
            SharedRateLimits limits = instances.instances().get(0).limits();
            instances.advertise(1);
            instances.run(Duration.ofMillis(50), i -> i == 0);
            var outdated = limits.observations(instances.nanos());
            instances.advertiseNothing();
            limits.responseReceived(
                    UPSTREAM, new RateLimitNotice.Unlimited(), instances.nanos() + 1);

            limits.accept(outdated, instances.nanos() + 1);

            assertThat(limits.isLimited(UPSTREAM)).isFalse();
        }

        @Test
        void aLimitEndsWithItsUpstream() {
            SimulatedInstances instances = instances(1);
            SharedRateLimits limits = instances.instances().get(0).limits();
            limits.responseReceived(UPSTREAM, new RateLimitNotice.Limited(1), instances.nanos());

            limits.remove(UPSTREAM);

            assertThat(limits.maySend(UPSTREAM, instances.nanos())).isTrue();
        }

        @ParameterizedTest
        @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
        void valuesThatAreNoLimitAreRejected(double value) {
            assertThrows(IllegalArgumentException.class, () -> new RateLimitNotice.Limited(value));
        }

        @Test
        void aVeryLargeLimitIsNoObstacle() {
            SimulatedInstances instances = instances(2);
            instances.advertise(1e300);
            instances.run(Duration.ofSeconds(2), i -> true);

            assertThat(instances.run(Duration.ofSeconds(2), i -> true)).isAtLeast(350);
        }
    }
}
