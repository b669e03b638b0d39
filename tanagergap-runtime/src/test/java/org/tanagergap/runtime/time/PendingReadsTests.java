package org.tanagergap.runtime.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.tanagergap.testing.PausedClock;

/** Guards tasks that must not run before the event loop has read what has arrived. */
final class PendingReadsTests {

    private static final Duration STEP = Duration.ofMillis(1);
    private static final Duration TWO_PASSES = STEP.multipliedBy(2);

    private final PausedClock mClock = new PausedClock();
    private final PendingReads mReads = new PendingReads(mClock);
    private final AtomicInteger mRuns = new AtomicInteger();

    @Test
    void aTaskRunsInTheSecondPass() {
        mReads.thenRun(mRuns::incrementAndGet);
        mClock.advance(STEP);
        assertThat(mRuns.get()).isEqualTo(0);

        mClock.advance(STEP);

        assertThat(mRuns.get()).isEqualTo(1);
    }

    @Test
    void aTaskDoesNotRunInALongPass() {
        mReads.thenRun(mRuns::incrementAndGet);
        mClock.advanceWhileBusy(PendingReads.MAX_AGE);
        mClock.advance(STEP);
        assertThat(mRuns.get()).isEqualTo(0);

        mClock.advance(TWO_PASSES);

        assertThat(mRuns.get()).isEqualTo(1);
    }

    @Test
    void aTaskWaitsUntilThePassesAreShort() {
        mReads.thenRun(mRuns::incrementAndGet);
        for (int i = 0; i < 10; i++) {
            mClock.advanceWhileBusy(PendingReads.MAX_AGE.multipliedBy(2));
            mClock.advance(STEP);
        }
        assertThat(mRuns.get()).isEqualTo(0);

        mClock.advance(TWO_PASSES);

        assertThat(mRuns.get()).isEqualTo(1);
    }

    /** Bodies in many small chunks keep all passes long, and no timeout was in effect. */
    @Test
    void aTaskRunsAtLastAlthoughAllPassesAreLong() {
        Duration pass = PendingReads.MAX_AGE.multipliedBy(2);
        mReads.thenRun(mRuns::incrementAndGet);

        for (int i = 0; i <= PendingReads.MAX_DELAY.dividedBy(pass); i++) {
            mClock.advanceWhileBusy(pass);
            mClock.advance(STEP);
        }

        assertThat(mRuns.get()).isEqualTo(1);
    }
}
