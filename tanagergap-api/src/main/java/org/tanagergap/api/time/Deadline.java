package org.tanagergap.api.time;

import java.time.Duration;
import java.util.Objects;

/**
 * Point in monotonic time after which a request must have finished or failed.
 *
 * @param nanos value of {@link RuntimeClock#nanoTime()} at the deadline
 */
public record Deadline(long nanos) {

    /** Creates a deadline that lies the given time after the clock's present. */
    public static Deadline after(RuntimeClock clock, Duration left) {
        Objects.requireNonNull(left, "left must not be null");
        return new Deadline(clock.nanoTime() + left.toNanos());
    }

    /** Time left; negative when the deadline has passed. */
    public Duration remaining(RuntimeClock clock) {
        return Duration.ofNanos(nanos - clock.nanoTime());
    }

    /** Whether the deadline has passed. */
    public boolean hasPassed(RuntimeClock clock) {
        return nanos - clock.nanoTime() <= 0;
    }
}
