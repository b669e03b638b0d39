package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards the number of calls to the store of large fleets, and the age of what they read. */
final class PollIntervalTests {

    @ParameterizedTest
    @CsvSource({"0, 600", "5, 600", "10, 1200", "15, 1800", "350, 1800"})
    void theIntervalGrowsWithTheNumberOfInstances(int instances, long millis) {
        assertThat(PollInterval.of(instances)).isEqualTo(Duration.ofMillis(millis));
    }
}
