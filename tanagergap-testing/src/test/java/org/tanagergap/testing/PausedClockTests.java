package org.tanagergap.testing;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PausedClockTests {

    private final PausedClock mClock = new PausedClock();

    @Test
    void runsTasksInOrderOfTimeAndThenOfScheduling() {
        List<String> ran = new ArrayList<>();
        mClock.schedule(Duration.ofSeconds(2), () -> ran.add("later"));
        mClock.schedule(Duration.ofSeconds(1), () -> ran.add("first"));
        mClock.schedule(Duration.ofSeconds(1), () -> ran.add("second"));

        mClock.advance(Duration.ofSeconds(2));

        assertThat(ran).containsExactly("first", "second", "later").inOrder();
    }

    @Test
    void runsTasksThatDueTasksScheduleWithinTheSameAdvance() {
        List<Long> times = new ArrayList<>();
        mClock.schedule(
                Duration.ofMillis(5),
                () -> mClock.schedule(Duration.ofMillis(5), () -> times.add(mClock.nanoTime())));

        mClock.advance(Duration.ofMillis(20));

        assertThat(times).containsExactly(10_000_000L);
        assertThat(mClock.nanoTime()).isEqualTo(20_000_000L);
    }

    @Test
    void doesNotRunCancelledTasks() {
        List<String> ran = new ArrayList<>();
        mClock.schedule(Duration.ofSeconds(1), () -> ran.add("cancelled")).cancel();

        mClock.advance(Duration.ofSeconds(1));

        assertThat(ran).isEmpty();
    }
}
