package org.tanagergap.decisions.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against reserved engine memory that is extended although no request uses it. */
final class ReservationUseTests {

    private static final long START = Duration.ofHours(1).toNanos();
    private static final Duration TIME_TO_LIVE = Duration.ofMillis(3_500);

    private final ReservationUse mUse =
            new ReservationUse(
                    new ReservationLimits(Duration.ofMillis(9_000), Duration.ofMillis(4_000)),
                    TIME_TO_LIVE,
                    START);

    private static long after(long millis) {
        return START + Duration.ofMillis(millis).toNanos();
    }

    @Test
    void memoryThatWasNeverUsedIsExtendedForALimitedTime() {
        assertThat(mUse.timeToLive(after(4_999))).hasValue(TIME_TO_LIVE);
        assertThat(mUse.timeToLive(after(5_000))).isEmpty();
    }

    @Test
    void anExtensionExpiresWithinTheLimitAfterTheLastUse() {
        mUse.used(after(4_000));

        assertThat(mUse.timeToLive(after(4_000))).hasValue(TIME_TO_LIVE);
        assertThat(mUse.timeToLive(after(5_000))).hasValue(Duration.ofMillis(2_500));
    }

    @Test
    void memoryIsReleasedBeforeTheLimitWithoutASignOfUse() {
        mUse.used(after(4_000));

        assertThat(mUse.timeToLive(after(6_999))).isPresent();
        assertThat(mUse.timeToLive(after(7_000))).isEmpty();
    }

    @Test
    void useStartsTheLimitAgain() {
        mUse.used(after(4_000));
        mUse.used(after(6_000));

        assertThat(mUse.timeToLive(after(8_999))).isPresent();
        assertThat(mUse.timeToLive(after(9_000))).isEmpty();
    }

    @Test
    void aReportThatTheUseHasEndedIsConfirmed() {
        mUse.requestSent(after(500));
        mUse.used(after(1_000));
        mUse.reportedNotInUse(after(2_000));

        assertThat(mUse.timeToLive(after(2_499))).isPresent();
        assertThat(mUse.timeToLive(after(2_500))).isEmpty();
    }

    /** Reports are some 200 ms old, and engines read a prompt again after a preemption. */
    @Test
    void aReportThatTheUseHasEndedIsOverriddenByALaterUse() {
        mUse.requestSent(after(500));
        mUse.used(after(1_000));
        mUse.reportedNotInUse(after(2_000));
        mUse.used(after(2_100));

        assertThat(mUse.mayHaveEnded()).isFalse();
        assertThat(mUse.timeToLive(after(2_600))).isPresent();
    }

    @Test
    void memoryIsNotInUseBeforeItsRequestHasReachedAnEngine() {
        mUse.reportedNotInUse(after(1_000));
        mUse.requestSent(after(1_500));
        mUse.reportedNotInUse(after(2_000));

        assertThat(mUse.timeToLive(after(4_000))).hasValue(TIME_TO_LIVE);
    }

    @Test
    void memoryOfARequestThatNoEngineKnowsIsReleased() {
        mUse.requestSent(after(100));
        mUse.reportedNotInUse(after(1_200));

        assertThat(mUse.timeToLive(after(1_700))).isEmpty();
    }

    @Test
    void memoryOfARequestThatMayWaitInAQueueIsExtended() {
        mUse.requestSent(after(100));
        mUse.reportedNotInUse(after(1_200));
        mUse.reportedWaiting();

        assertThat(mUse.timeToLive(after(4_000))).hasValue(TIME_TO_LIVE);
    }

    @Test
    void enginesAreAskedOnlyWhenNothingWasSeenForAWhile() {
        assertThat(mUse.needsCheck(after(599))).isFalse();
        assertThat(mUse.needsCheck(after(600))).isTrue();

        mUse.used(after(2_500));

        assertThat(mUse.needsCheck(after(3_000))).isFalse();
    }
}
