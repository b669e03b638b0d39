package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards a fleet whose gateways rely on a few readers of the store against late changes and against
 * calls that grow with the fleet.
 */
final class StoreReaderFleetTests {

    /** A draining upstream receives no new requests, and a configuration takes effect. */
    private static final long BOUND_MILLIS = 2000;

    private static final int GATEWAYS = 30;
    private static final int SECONDS = 60;

    private static SimulatedFleet fleet(long seed) {
        return new SimulatedFleet(GATEWAYS, false, seed);
    }

    private static double callsPerSecond(SimulatedFleet fleet) {
        long before = fleet.mCalls;
        fleet.mClock.advance(Duration.ofSeconds(SECONDS));
        return (double) (fleet.mCalls - before) / SECONDS;
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 30})
    void aLargeFleetCallsTheStoreLessOftenThanBefore(int gateways) {
        double before = callsPerSecond(new SimulatedFleet(gateways, true, 1));
        double after = callsPerSecond(new SimulatedFleet(gateways, false, 1));

        assertThat(after).isAtMost(3 / 0.6 + (gateways - 3) / 6.0);
        assertThat(after).isLessThan(before);
    }

    @Test
    void aSmallFleetCallsTheStoreAsBefore() {
        SimulatedFleet fleet = new SimulatedFleet(5, false, 1);

        assertThat(fleet.readers()).hasSize(5);
        assertThat(callsPerSecond(fleet))
                .isWithin(0.1)
                .of(callsPerSecond(new SimulatedFleet(5, true, 1)));
    }

    /** Heartbeats are not reported as changes, but carry the remaining cold time of an engine. */
    @Test
    void heartbeatsReachAllGatewaysAsOftenAsBefore() {
        SimulatedFleet fleet = fleet(1);
        for (int i = 0; i < 50; i++) {
            fleet.mClock.advance(Duration.ofMillis(130));
            for (SimulatedFleet.Gateway gateway : fleet.mGateways) {
                assertThat(gateway.mSync.age()).isAtMost(Duration.ofMillis(1800));
            }
        }
    }

    @Test
    void aChangeIsKnownInTimeIfOneReaderDiesAtAnyMoment() {
        long worst = 0;
        for (int killMillis = 0; killMillis <= 1000; killMillis += 125) {
            for (int reader = 0; reader < 3; reader++) {
                SimulatedFleet fleet = fleet(killMillis);
                fleet.mStoreDelay = Duration.ofMillis(300);
                fleet.mLostReports = 0.2;
                fleet.mClock.advance(Duration.ofMillis(2000 + 7 * killMillis));
                SimulatedFleet.Gateway dying = fleet.readers().get(reader);
                fleet.mClock.schedule(Duration.ofMillis(killMillis), () -> dying.mDead = true);
                worst = Math.max(worst, fleet.millisUntilKnown("u2"));
            }
        }

        assertThat(worst).isAtMost(BOUND_MILLIS);
    }

    @Test
    void aChangeIsKnownInTimeIfAllReadersDieBeforeIt() {
        long worst = 0;
        for (int seed = 0; seed < 20; seed++) {
            SimulatedFleet fleet = fleet(seed);
            fleet.readers().forEach(reader -> reader.mDead = true);
            worst = Math.max(worst, fleet.millisUntilKnown("u2"));
        }

        assertThat(worst).isAtMost(BOUND_MILLIS);
    }

    @Test
    void readersThatTheStoreRejectsAreNoticedAndReplaced() {
        for (int seed = 0; seed < 5; seed++) {
            SimulatedFleet fleet = fleet(seed);
            List<SimulatedFleet.Gateway> rejected = fleet.readers();
            rejected.forEach(reader -> fleet.storeUnavailable(reader.mIndex, true));

            assertThat(fleet.millisUntilKnown("u2")).isAtMost(BOUND_MILLIS);
            fleet.mClock.advance(Duration.ofSeconds(12));
            assertThat(fleet.readers()).containsNoneIn(rejected);
            assertThat(fleet.millisUntilKnown("u3")).isAtMost(BOUND_MILLIS);
        }
    }

    /** Each gateway in turn hears nobody, is heard by nobody, or both. */
    @ParameterizedTest
    @ValueSource(strings = {"hears nobody", "is not heard", "is alone"})
    void aGatewayThatIsCutOffInOneDirectionKnowsAChangeInTime(String cut) {
        for (int gateway = 0; gateway < GATEWAYS; gateway += 4) {
            SimulatedFleet fleet = fleet(gateway);
            for (int peer = 0; peer < GATEWAYS; peer++) {
                if (!cut.equals("is not heard")) {
                    fleet.cut(peer, gateway);
                }
                if (!cut.equals("hears nobody")) {
                    fleet.cut(gateway, peer);
                }
            }
            assertWithMessage("first").that(fleet.millisUntilKnown("u2")).isAtMost(BOUND_MILLIS);
            fleet.mClock.advance(Duration.ofMillis(4321));
            assertWithMessage("later").that(fleet.millisUntilKnown("u3")).isAtMost(BOUND_MILLIS);
        }
    }

    @Test
    void bothSidesOfAPartitionKnowAChangeInTime() {
        for (int seed = 0; seed < 5; seed++) {
            SimulatedFleet fleet = fleet(seed);
            for (int i = 0; i < GATEWAYS; i++) {
                for (int j = 0; j < GATEWAYS; j++) {
                    if (i % 2 != j % 2) {
                        fleet.cut(i, j);
                    }
                }
            }
            assertThat(fleet.millisUntilKnown("u2")).isAtMost(BOUND_MILLIS);
            fleet.mClock.advance(Duration.ofSeconds(5));
            assertThat(fleet.readers().size()).isAtMost(6);
            assertThat(fleet.millisUntilKnown("u3")).isAtMost(BOUND_MILLIS);
        }
    }

    /**
     * Most gateways do not notice an outage of some seconds, in which leases expire. They must not
     * take the expired entries for removed ones. An outage of less than an interval and the timeout
     * of a call, 1.3 s, can pass unnoticed by all.
     */
    @ParameterizedTest
    @ValueSource(ints = {1300, 1800, 2500, 6000})
    void entriesThatExpireInAnOutageAreUsedDuringTheGracePeriod(int outageMillis) {
        for (int seed = 0; seed < 5; seed++) {
            SimulatedFleet fleet = fleet(seed);
            fleet.put("u2");
            fleet.mClock.advance(Duration.ofMillis(2000));
            for (int i = 0; i < GATEWAYS; i++) {
                fleet.storeUnavailable(i, true);
            }
            fleet.mClock.advance(Duration.ofMillis(outageMillis));
            fleet.remove("u2");
            for (int i = 0; i < GATEWAYS; i++) {
                fleet.storeUnavailable(i, false);
            }
            for (int i = 0; i < 18; i++) {
                fleet.mClock.advance(Duration.ofMillis(100));
                long missing = fleet.mGateways.stream().filter(g -> !g.knows("u2")).count();
                assertWithMessage("gateways without the entry").that(missing).isEqualTo(0);
            }
            fleet.put("u2");
            fleet.mClock.advance(Duration.ofSeconds(8));
            assertThat(fleet.mGateways.stream().allMatch(g -> g.knows("u2"))).isTrue();
        }
    }

    @Test
    void anUnavailableStoreIsCalledLessOftenThanBefore() {
        double before = callsDuringOutage(new SimulatedFleet(GATEWAYS, true, 1));
        double after = callsDuringOutage(fleet(1));

        assertThat(after).isLessThan(before);
    }

    private static double callsDuringOutage(SimulatedFleet fleet) {
        for (int i = 0; i < GATEWAYS; i++) {
            fleet.storeUnavailable(i, true);
        }
        return callsPerSecond(fleet);
    }
}
