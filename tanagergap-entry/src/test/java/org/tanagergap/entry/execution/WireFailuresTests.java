package org.tanagergap.entry.execution;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tanagergap.protocol.v1.Failed;

/** Guards against failures of agents whose numbers cannot be converted. */
class WireFailuresTests {

    private static Optional<Duration> retryAfter(long millis) {
        return WireFailures.read(Failed.newBuilder().setRetryAfterMs(millis).build()).retryAfter();
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, 10_000_000_000_000L})
    void aRetryTimeOutOfRangeIsLimited(long millis) {
        assertThat(retryAfter(millis).orElseThrow().toNanos()).isGreaterThan(0);
    }

    @ParameterizedTest
    @ValueSource(longs = {Long.MIN_VALUE, -1, 0})
    void aRetryTimeThatIsNotPositiveIsIgnored(long millis) {
        assertThat(retryAfter(millis)).isEqualTo(Optional.empty());
    }
}
