package org.tanagergap.api.time;

import java.time.Duration;
import java.util.Objects;

/**
 * Point in monotonic time after which a request must have finished or failed.
 *
 * @param nanos value of {@link RuntimeClock#nanoTime()} at the deadline
 */
public record Deadline(long nanos) {

    /** Creates a deadline the given time from now. */
    public static Deadline after(RuntimeClock clock, Duration remaining) {
        Objects.requireNonNull(remaining, "remaining must not be null");
        return new Deadline(clock.nanoTime() + remaining.toNanos());
    }

    /** Returns the remaining time; negative when the deadline has passed. */
    public Duration remaining(RuntimeClock clock) {
        return Duration.ofNanos(nanos - clock.nanoTime());
    }

    public boolean hasPassed(RuntimeClock clock) {
        return nanos - clock.nanoTime() <= 0;
    }
}
