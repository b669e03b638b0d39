package org.tanagergap.decisions.stall;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards the time after which an upstream without data counts as stalled. */
final class IdleTimeoutTests {

    private static final Duration TARGET = Duration.ofMillis(300);

    private static IdleTimeout stream(Optional<Duration> gap, double predictedMillis) {
        return new IdleTimeout(true, TARGET, gap, predictedMillis);
    }

    private static Optional<Duration> millis(long gap) {
        return Optional.of(Duration.ofMillis(gap));
    }

    @Test
    void aPlainCallIsAllowedHalfAsLongAgainAsItsTarget() {
        IdleTimeout timeout = new IdleTimeout(false, TARGET, Optional.empty(), 0);

        assertThat(timeout.timeout(true)).isEqualTo(Duration.ofMillis(450));
    }

    @Test
    void beforeTheFirstEventTheTimeoutFollowsThePrediction() {
        assertThat(stream(millis(250), 0).timeout(true)).isEqualTo(Duration.ofMillis(900));
        assertThat(stream(millis(250), 1000).timeout(true)).isEqualTo(Duration.ofMillis(3400));
    }

    @Test
    void betweenEventsTheTimeoutFollowsTheAcceptedGap() {
        assertThat(stream(millis(1000), 0).timeout(false)).isEqualTo(Duration.ofMillis(3000));
    }

    @Test
    void shortGapsAndMissingTargetsGetTheLeastTimeout() {
        assertThat(stream(millis(250), 0).timeout(false)).isEqualTo(Duration.ofMillis(1200));
        assertThat(stream(Optional.empty(), 0).timeout(false)).isEqualTo(Duration.ofMillis(1200));
    }

    @Test
    void slownessIsRelativeToThePrediction() {
        assertThat(stream(millis(250), 200).slowness(600)).isWithin(1e-9).of(3);
        assertThat(stream(millis(250), 10).slowness(120)).isWithin(1e-9).of(2);
    }
}
