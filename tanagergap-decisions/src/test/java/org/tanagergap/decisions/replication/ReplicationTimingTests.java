package org.tanagergap.decisions.replication;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the number of calls to the store of large fleets, and the age of what they read. */
final class ReplicationTimingTests {

    /** Time after which a call gives up to connect. */
    private static final Duration FAILED_CALL = Duration.ofMillis(250);

    private static ReplicationTiming timing(long limitMillis) {
        return new ReplicationTiming(Duration.ofMillis(limitMillis));
    }

    @ParameterizedTest
    @CsvSource({
        // limit, instances, ms
        "3000, 0, 600",
        "3000, 5, 600",
        "3000, 10, 1200",
        "3000, 15, 1800",
        "4000, 350, 1800",
        "2000, 10, 1200",
        "2000, 350, 1200",
        "1000, 5, 300",
        "1000, 350, 600",
    })
    void theIntervalGrowsWithTheNumberOfInstances(long limit, int instances, long millis) {
        assertThat(timing(limit).pollIntervalAlone(instances)).isEqualTo(Duration.ofMillis(millis));
    }

    @ParameterizedTest
    @ValueSource(longs = {1000, 1500, 2000, 3000, 4000})
    void aChangeIsReadInTimeDespiteAFailedCall(long limit) {
        ReplicationTiming timing = timing(limit);
        Duration failure = FAILED_CALL.plus(timing.retryInterval());

        assertThat(timing.pollInterval().plus(failure)).isLessThan(timing.limit());
        assertThat(timing.pollIntervalAlone(350).plus(failure)).isLessThan(timing.limit());
        assertThat(timing.maxSilence().plus(failure)).isLessThan(timing.limit());
    }
}
