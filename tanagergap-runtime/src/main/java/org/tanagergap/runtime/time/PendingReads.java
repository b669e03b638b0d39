package org.tanagergap.runtime.time;

import java.time.Duration;
import java.util.Objects;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Runs tasks after the event loop has read what has arrived on its connections. A timer alone does
 * not ensure that: in each pass the loop first reads what had arrived when the pass began and then
 * runs the timers that are due, so a long pass leaves everything unread that arrives during it.
 * Confined to the event loop.
 */
public final class PendingReads {

    /** Unread bytes have arrived within this time when a task runs. */
    public static final Duration MAX_AGE = Duration.ofMillis(50);

    /** Any delay ends in a later pass of the event loop. */
    private static final Duration NEXT_PASS = Duration.ofMillis(1);

    private final RuntimeClock mClock;

    public PendingReads(RuntimeClock clock) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
    }

    /**
     * Runs the task in a pass that has read everything that arrived until {@link #MAX_AGE} ago. On
     * an event loop whose passes all take longer, the task waits for shorter ones.
     */
    public void thenRun(Runnable task) {
        long startNanos = mClock.nanoTime();
        // One pass accepts the connections that wait, and the next one reads from them.
        mClock.schedule(
                NEXT_PASS, () -> mClock.schedule(NEXT_PASS, () -> runIfShort(startNanos, task)));
    }

    private void runIfShort(long startNanos, Runnable task) {
        if (mClock.nanoTime() - startNanos <= MAX_AGE.toNanos()) {
            task.run();
        } else {
            thenRun(task);
        }
    }
}
