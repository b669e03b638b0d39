package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.decisions.replication.ReplicationTiming;

/** Guards against gateways that still use an upstream after its entry was removed. */
final class LeavingUpstreamFleetTests {

    /** An upstream receives no new requests this long after its leaving. */
    private static final long LIMIT_MILLIS = 2000;

    /** A gateway keeps the limit again this long after it was cut off. */
    private static final long STABLE_MILLIS = 3000;

    /** Seeds of the random cuts; more are played by hand. */
    private static final int SEEDS = Integer.getInteger("tanagergap.test.seeds", 16);

    private static final Duration MIN_CUT = Duration.ofMillis(300);
    private static final int MAX_CUT_MILLIS = 4000;

    private static SimulatedFleet fleet(int gateways, long seed) {
        SimulatedFleet fleet = new SimulatedFleet(gateways, false, seed);
        fleet.put("u2");
        fleet.mClock.advance(Duration.ofMillis(2000 + 37 * seed % 1300));
        return fleet;
    }

    private static void assertInTime(String when, Map<Integer, Long> dropped) {
        assertInTime(when, dropped, LIMIT_MILLIS);
    }

    private static void assertInTime(String when, Map<Integer, Long> dropped, long limitMillis) {
        dropped.forEach(
                (gateway, millis) ->
                        assertWithMessage("%s, gateway %s", when, gateway)
                                .that(millis)
                                .isAtMost(limitMillis));
    }

    @ParameterizedTest
    @CsvSource({"6, 0", "6, 700", "8, 250", "25, 0", "30, 700"})
    void aRemovalIsInForceInTimeWhileOneReaderIsCutOffFromTheStore(
            int gateways, long timeoutMillis) {
        for (int sinceCut = 0; sinceCut <= 3500; sinceCut += 350) {
            SimulatedFleet fleet = fleet(gateways, sinceCut);
            fleet.mStoreTimeout = Duration.ofMillis(timeoutMillis);
            int reader = fleet.readers().get(0).mIndex;
            fleet.cutFromStore(reader, Duration.ZERO, Duration.ofMillis(2500));
            fleet.mClock.advance(Duration.ofMillis(sinceCut));

            Map<Integer, Long> dropped = fleet.millisUntilDropped("u2");

            dropped.remove(reader);
            assertInTime(sinceCut + " ms after the cut", dropped);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 6, 25})
    void aRemovalIsInForceInTimeAfterOneFailedCall(int gateways) {
        for (int seed = 0; seed < 16; seed++) {
            SimulatedFleet fleet = fleet(gateways, seed);
            fleet.mStoreTimeout = Duration.ofMillis(250);
            fleet.readers().get(0).mFailingCalls = 1;

            assertInTime("seed " + seed, fleet.millisUntilDropped("u2"));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 25})
    void aRemovalIsInForceInTimeWhileAllReadersAreCutOffFromTheStore(int gateways) {
        for (int sinceCut = 0; sinceCut <= 3500; sinceCut += 350) {
            SimulatedFleet fleet = fleet(gateways, sinceCut);
            fleet.mStoreTimeout = Duration.ofMillis(250);
            Map<Integer, Long> cut = new HashMap<>();
            for (SimulatedFleet.Gateway reader : fleet.readers()) {
                fleet.cutFromStore(reader.mIndex, Duration.ZERO, Duration.ofMillis(2500));
                cut.put(reader.mIndex, 0L);
            }
            fleet.mClock.advance(Duration.ofMillis(sinceCut));

            Map<Integer, Long> dropped = fleet.millisUntilDropped("u2");

            dropped.keySet().removeAll(cut.keySet());
            assertInTime(sinceCut + " ms after the cut", dropped);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 6, 25})
    void aGatewayThatWasCutOffDropsUpstreamsWhenItHasRecovered(int gateways) {
        for (int beforeEnd = 100; beforeEnd <= 2500; beforeEnd += 200) {
            SimulatedFleet fleet = fleet(gateways, beforeEnd);
            fleet.mStoreTimeout = Duration.ofMillis(250);
            fleet.cutFromStore(0, Duration.ZERO, Duration.ofMillis(2500));
            fleet.mClock.advance(Duration.ofMillis(2500 - beforeEnd));

            Map<Integer, Long> dropped = fleet.millisUntilDropped("u2");

            long limit = Math.max(LIMIT_MILLIS, beforeEnd + STABLE_MILLIS);
            assertWithMessage("removal %s ms before the end", beforeEnd)
                    .that(dropped.remove(0))
                    .isAtMost(limit);
            assertInTime(beforeEnd + " ms before the end", dropped);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 6, 25})
    void anUpstreamThatDoesNotReturnAfterAnOutageForAllIsDroppedInTime(int gateways) {
        for (int seed = 0; seed < 8; seed++) {
            SimulatedFleet fleet = fleet(gateways, seed);
            fleet.mStoreTimeout = Duration.ofMillis(250);
            for (int i = 0; i < gateways; i++) {
                fleet.cutFromStore(i, Duration.ZERO, Duration.ofMillis(4000));
            }
            fleet.mClock.advance(Duration.ofMillis(3990));

            Map<Integer, Long> dropped = fleet.millisUntilDropped("u2");

            dropped.forEach(
                    (gateway, millis) -> {
                        assertWithMessage("gateway %s", gateway).that(millis).isAtLeast(2000);
                        assertWithMessage("gateway %s", gateway)
                                .that(millis)
                                .isAtMost(10 + STABLE_MILLIS);
                    });
        }
    }

    @ParameterizedTest
    @CsvSource({"1000, 1", "1000, 5", "1000, 6", "1000, 25", "1500, 8", "3000, 25", "4000, 30"})
    void aRemovalIsInForceWithinTheLimitOfTheDeployment(long limitMillis, int gateways) {
        ReplicationTiming timing = new ReplicationTiming(Duration.ofMillis(limitMillis));
        for (int seed = 0; seed < 8; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(gateways, false, seed, timing);
            fleet.put("u2");
            fleet.mClock.advance(Duration.ofMillis(2000 + 37 * seed));
            fleet.mStoreTimeout = Duration.ofMillis(250);
            fleet.readers().forEach(reader -> reader.mFailingCalls = 1);

            assertInTime("seed " + seed, fleet.millisUntilDropped("u2"), limitMillis);
        }
    }

    /** A gateway that hears nobody polls the store itself. */
    @ParameterizedTest
    @ValueSource(ints = {6, 25})
    void aRemovalIsInForceInTimeAfterAFailedCallOfAGatewayThatHearsNobody(int gateways) {
        for (int seed = 0; seed < 8; seed++) {
            SimulatedFleet fleet = fleet(gateways, seed);
            fleet.mStoreTimeout = Duration.ofMillis(250);
            for (int peer = 0; peer < gateways; peer++) {
                fleet.cut(peer, 0);
            }
            fleet.mClock.advance(Duration.ofMillis(5000 + 170 * seed));
            fleet.mGateways.get(0).mFailingCalls = 1;

            assertInTime("seed " + seed, fleet.millisUntilDropped("u2"));
        }
    }

    /** Gateways dropped entries that had returned, as they had not read the store since. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 6, 25})
    void anEntryThatReturnsSoonAfterAnOutageForAllStaysInUse(int gateways) {
        for (int seed = 0; seed < 8; seed++) {
            SimulatedFleet fleet = fleet(gateways, seed);
            fleet.mStoreTimeout = Duration.ofMillis(250);
            cutAllFromStore(fleet, Duration.ZERO, Duration.ofMillis(4000));
            fleet.mClock.schedule(Duration.ofMillis(3990), () -> fleet.remove("u2"));
            fleet.mClock.schedule(Duration.ofMillis(5800), () -> fleet.put("u2"));

            assertStaysInUse(fleet, Duration.ofSeconds(9), "seed " + seed);
        }
    }

    /** The grace period ended while nobody could see that the entry had returned. */
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 25})
    void anEntryStaysInUseDuringAnotherOutageForAll(int gateways) {
        for (int seed = 0; seed < 8; seed++) {
            SimulatedFleet fleet = fleet(gateways, seed);
            fleet.mStoreTimeout = Duration.ofMillis(250);
            cutAllFromStore(fleet, Duration.ZERO, Duration.ofMillis(4000));
            cutAllFromStore(fleet, Duration.ofMillis(4900), Duration.ofMillis(3000));
            fleet.mClock.schedule(Duration.ofMillis(3990), () -> fleet.remove("u2"));
            fleet.mClock.schedule(Duration.ofMillis(5500), () -> fleet.put("u2"));

            assertStaysInUse(fleet, Duration.ofSeconds(12), "seed " + seed);
        }
    }

    private static void cutAllFromStore(SimulatedFleet fleet, Duration delay, Duration length) {
        fleet.mGateways.forEach(gateway -> fleet.cutFromStore(gateway.mIndex, delay, length));
    }

    private static void assertStaysInUse(SimulatedFleet fleet, Duration time, String when) {
        for (long millis = 0; millis < time.toMillis(); millis += 20) {
            fleet.mClock.advance(Duration.ofMillis(20));
            for (SimulatedFleet.Gateway gateway : fleet.mGateways) {
                assertWithMessage("%s, gateway %s, %s ms", when, gateway.mIndex, millis)
                        .that(gateway.knows("u2"))
                        .isTrue();
            }
        }
    }

    /** Up to half of the gateways are cut off for a while, one dies, and reports are lost. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5, 6, 8, 12, 25})
    void aRemovalIsInForceInTimeBesideCutsOfSomeGateways(int gateways) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = fleet(gateways, seed);
            Random random = new Random(seed);
            fleet.mLostReports = 0.1 * random.nextDouble();
            fleet.mStoreTimeout = Duration.ofMillis(random.nextBoolean() ? 0 : 250);
            Duration wait = Duration.ofMillis(4000);
            Map<Integer, Long> cutEnds = new HashMap<>();
            for (int i = 0; i < Math.max(1, gateways / 2); i++) {
                int gateway = random.nextInt(gateways);
                Duration begin = Duration.ofMillis(random.nextInt(7000));
                Duration length = MIN_CUT.plusMillis(random.nextInt(MAX_CUT_MILLIS));
                if (!cutEnds.containsKey(gateway)) {
                    fleet.cutFromStore(gateway, begin, length);
                    cutEnds.put(gateway, begin.plus(length).minus(wait).toMillis());
                }
            }
            SimulatedFleet.Gateway dying = fleet.mGateways.get(random.nextInt(gateways));
            fleet.mClock.schedule(
                    Duration.ofMillis(3000 + random.nextInt(2500)), () -> dying.mDead = true);
            fleet.mClock.advance(wait);

            Map<Integer, Long> dropped = fleet.millisUntilDropped("u2");

            dropped.forEach(
                    (gateway, millis) -> {
                        long recovered = cutEnds.getOrDefault(gateway, 0L) + STABLE_MILLIS;
                        boolean cut = cutEnds.containsKey(gateway);
                        assertWithMessage("gateway %s of %s, cuts %s", gateway, gateways, cutEnds)
                                .that(millis)
                                .isAtMost(cut ? Math.max(LIMIT_MILLIS, recovered) : LIMIT_MILLIS);
                    });
        }
    }
}
