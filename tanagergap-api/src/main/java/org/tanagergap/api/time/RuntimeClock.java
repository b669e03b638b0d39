package org.tanagergap.api.time;

import java.time.Duration;
import java.time.Instant;

/** Source of time and timers; tests use a clock that they pause and advance. */
public interface RuntimeClock {

    /** Wall-clock time, for logs and records for people. */
    Instant now();

    /** Monotonic time in nanoseconds; the only basis for deadlines, leases and timeouts. */
    long nanoTime();

    /** Runs the task once after the delay. */
    Timer schedule(Duration delay, Runnable task);
}
