package org.tanagergap.gateway.caller;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards connections against an idle timeout that their callers do not know. */
final class IdleLimitsTests {

    private static final Duration LONG = Duration.ofSeconds(15);
    private static final Duration SHORT = Duration.ofSeconds(3);

    private final IdleLimits mLimits = new IdleLimits();

    private static long seconds(long seconds) {
        return Duration.ofSeconds(seconds).toNanos();
    }

    @Test
    void aConnectionThatIsIdleWhenTheLimitIsLoweredKeepsTheLongerOne() {
        mLimits.inForce(LONG, seconds(0));
        mLimits.inForce(SHORT, seconds(100));

        assertThat(mLimits.limitFor(seconds(95))).isEqualTo(LONG);
    }

    @Test
    void aCallerThatDoesNotKnowTheLowerLimitYetMayGoByTheLongerOne() {
        mLimits.inForce(LONG, seconds(0));
        mLimits.inForce(SHORT, seconds(100));

        assertThat(mLimits.limitFor(seconds(103))).isEqualTo(LONG);
        assertThat(mLimits.limitFor(seconds(104))).isEqualTo(SHORT);
    }

    /** An instance started after the limit had been lowered and closed connections in use. */
    @Test
    void anInstanceThatHasJustStartedDoesNotKnowWhatItsCallersGoBy() {
        mLimits.inForce(SHORT, seconds(100));

        assertThat(mLimits.limitFor(seconds(103))).isEqualTo(IdleLimits.UNKNOWN);
        assertThat(mLimits.limitFor(seconds(104))).isEqualTo(SHORT);
    }

    @Test
    void aHigherLimitAppliesToIdleConnectionsAtOnce() {
        mLimits.inForce(SHORT, seconds(0));
        mLimits.inForce(LONG, seconds(100));

        assertThat(mLimits.limitFor(seconds(99))).isEqualTo(LONG);
    }

    @Test
    void aLongLimitInTheMiddleOfQuickChangesIsNotForgotten() {
        mLimits.inForce(SHORT, seconds(0));
        mLimits.inForce(LONG, seconds(100));
        mLimits.inForce(SHORT, seconds(101));
        mLimits.inForce(SHORT.plusSeconds(1), seconds(102));
        mLimits.inForce(SHORT, seconds(103));

        assertThat(mLimits.limitFor(seconds(100))).isEqualTo(LONG);
        assertThat(mLimits.limitFor(seconds(104))).isEqualTo(LONG);
    }

    @Test
    void manyChangesKeepTheLimitOfAConnectionThatIsStillOpen() {
        mLimits.inForce(LONG, seconds(0));
        for (int i = 0; i < 14; i++) {
            mLimits.inForce(SHORT.plusMillis(i), seconds(100 + i));
        }

        assertThat(mLimits.limitFor(seconds(99))).isEqualTo(LONG);
    }
}
