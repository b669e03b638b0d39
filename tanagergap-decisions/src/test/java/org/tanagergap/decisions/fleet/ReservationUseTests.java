package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against reserved engine memory that is extended although no request uses it. */
final class ReservationUseTests {

    private static final long START = Duration.ofHours(1).toNanos();

    private final ReservationUse mUse =
            new ReservationUse(Duration.ofMillis(9_000), Duration.ofMillis(3_500), START);

    private static long after(long millis) {
        return START + Duration.ofMillis(millis).toNanos();
    }

    @Test
    void memoryThatWasNeverUsedIsExtendedForALimitedTime() {
        assertThat(mUse.mayExtend(after(4_999))).isTrue();
        assertThat(mUse.mayExtend(after(5_000))).isFalse();
    }

    @Test
    void useStartsTheLimitAgain() {
        mUse.used(after(4_000));

        assertThat(mUse.mayExtend(after(8_999))).isTrue();
        assertThat(mUse.mayExtend(after(9_000))).isFalse();
    }

    @Test
    void enginesAreAskedOnlyWhenNothingWasSeenForAWhile() {
        assertThat(mUse.needsCheck(after(1_999))).isFalse();
        assertThat(mUse.needsCheck(after(2_000))).isTrue();

        mUse.used(after(2_500));

        assertThat(mUse.needsCheck(after(4_400))).isFalse();
    }
}
