package org.tanagergap.endtoend;

import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Waits for states of the running system and prints how long they took. */
final class Waiting {

    private static final long POLL_MILLIS = 50;

    private Waiting() {}

    /** Polls a condition until it holds and prints the elapsed time; fails after the limit. */
    static Duration until(String what, Duration limit, Callable<Boolean> condition)
            throws Exception {
        long start = System.nanoTime();
        while (!condition.call()) {
            Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
            assertWithMessage("time until " + what).that(elapsed).isLessThan(limit);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
        Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
        System.out.printf("measured: %s after %d ms%n", what, elapsed.toMillis());
        return elapsed;
    }
}
