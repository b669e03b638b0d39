package org.tanagergap.decisions.stall;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.tanagergap.decisions.stall.EngineLiveness.Probe;
import org.tanagergap.decisions.stall.EngineLiveness.Verdict;

/** Guards long prefills against being given up while their engine is only silent for a while. */
final class EngineLivenessTests {

    private static final long PROBE_TIMEOUT_MILLIS = 500;

    private final EngineLiveness mLiveness = new EngineLiveness(false);
    private final EngineLiveness mWithReservation = new EngineLiveness(true);

    private static Verdict noResponse(EngineLiveness liveness, long sentMillis) {
        return probed(liveness, Probe.NO_RESPONSE, sentMillis, PROBE_TIMEOUT_MILLIS);
    }

    private static Verdict probed(
            EngineLiveness liveness, Probe probe, long sentMillis, long durationMillis) {
        return liveness.probed(probe, nanos(sentMillis), nanos(sentMillis + durationMillis));
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    @Test
    void aSingleProbeWithoutResponseShowsNothing() {
        assertThat(noResponse(mLiveness, 1000)).isEqualTo(Verdict.ALIVE);
    }

    @Test
    void anEngineThatIsSilentForAWhileIsStalledAndNotLost() {
        noResponse(mLiveness, 1000);

        assertThat(noResponse(mLiveness, 1500)).isEqualTo(Verdict.STALLED);
        assertThat(noResponse(mLiveness, 60_000)).isEqualTo(Verdict.STALLED);
    }

    @Test
    void anEngineThatRespondsAgainIsAlive() {
        noResponse(mLiveness, 1000);
        noResponse(mLiveness, 1500);

        assertThat(probed(mLiveness, Probe.ALIVE, 2250, 1)).isEqualTo(Verdict.ALIVE);
        assertThat(noResponse(mLiveness, 3250)).isEqualTo(Verdict.ALIVE);
    }

    /** A stream that was delivering events was ended because the probes of its engine failed. */
    @Test
    void anEngineThatSendsDataOfTheRequestIsNotLost() {
        noResponse(mWithReservation, 1000);
        noResponse(mWithReservation, 1500);
        mWithReservation.responded();

        assertThat(noResponse(mWithReservation, 3500)).isEqualTo(Verdict.ALIVE);
        assertThat(noResponse(mWithReservation, 4000)).isEqualTo(Verdict.STALLED);
    }

    @Test
    void anEngineMayStaySilentAfterTheReservationIsReleased() {
        noResponse(mWithReservation, 1000);
        noResponse(mWithReservation, 1500);
        mWithReservation.reservationReleased();

        assertThat(noResponse(mWithReservation, 9000)).isEqualTo(Verdict.STALLED);
    }

    @Test
    void anEngineThatHasRestartedIsLost() {
        assertThat(probed(mLiveness, Probe.RESTARTED, 1000, 1)).isEqualTo(Verdict.LOST);
    }

    @Test
    void anEngineWithoutListenerIsLost() {
        assertThat(probed(mLiveness, Probe.REFUSED, 1000, 1)).isEqualTo(Verdict.ALIVE);
        assertThat(probed(mLiveness, Probe.REFUSED, 1001, 1)).isEqualTo(Verdict.LOST);
    }

    /** Memory of other engines stayed reserved after the engine with the request had crashed. */
    @Test
    void reservedMemoryIsNotKeptForAnEngineThatStaysSilent() {
        noResponse(mWithReservation, 1000);
        noResponse(mWithReservation, 1500);

        assertThat(noResponse(mWithReservation, 2250)).isEqualTo(Verdict.STALLED);
        assertThat(noResponse(mWithReservation, 3000)).isEqualTo(Verdict.LOST);
    }

    @Test
    void reservedMemoryIsKeptForAnEngineThatGoesOnAfterTwoSeconds() {
        noResponse(mWithReservation, 1000);
        noResponse(mWithReservation, 1500);
        noResponse(mWithReservation, 2250);

        assertThat(probed(mWithReservation, Probe.ALIVE, 3000, 1)).isEqualTo(Verdict.ALIVE);
    }
}
