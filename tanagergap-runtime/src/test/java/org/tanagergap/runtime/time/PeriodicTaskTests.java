package org.tanagergap.runtime.time;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.tanagergap.testing.PausedClock;

/** Guards against a periodic task that ends because one of its runs fails. */
class PeriodicTaskTests {

    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final PausedClock mClock = new PausedClock();
    private final AtomicInteger mRuns = new AtomicInteger();

    private int runsOf(Runnable failure) {
        PeriodicTask task =
                new PeriodicTask(
                        mClock,
                        INTERVAL,
                        () -> {
                            mRuns.incrementAndGet();
                            failure.run();
                        });
        task.start();
        for (int i = 0; i < 3; i++) {
            try {
                mClock.advance(INTERVAL);
            } catch (StackOverflowError e) {
                // The event loop of a process reports it and goes on.
                continue;
            }
        }
        return mRuns.get();
    }

    @Test
    void aTaskThatOverflowsItsStackRunsAgain() {
        assertThat(runsOf(PeriodicTaskTests::overflow)).isEqualTo(3);
    }

    @Test
    void aTaskThatThrowsAnExceptionRunsAgain() {
        Runnable failing =
                () -> {
                    throw new IllegalStateException("failed");
                };
        assertThat(runsOf(failing)).isEqualTo(3);
    }

    private static void overflow() {
        overflow();
        // The second call keeps the method from being replaced by a loop.
        overflow();
    }
}
