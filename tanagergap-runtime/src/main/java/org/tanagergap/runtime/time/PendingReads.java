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

    /** Timeouts are in effect even if clients keep every pass of the event loop long. */
    static final Duration MAX_DELAY = Duration.ofSeconds(2);

    /** Any delay ends in a later pass of the event loop. */
    private static final Duration NEXT_PASS = Duration.ofMillis(1);

    private final RuntimeClock mClock;

    public PendingReads(RuntimeClock clock) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
    }

    /**
     * Runs the task in a pass that has read everything that arrived until {@link #MAX_AGE} ago. On
     * an event loop whose passes all take longer, the task waits for shorter ones, up to {@link
     * #MAX_DELAY}.
     */
    public void thenRun(Runnable task) {
        run(task, mClock.nanoTime() + MAX_DELAY.toNanos());
    }

    private void run(Runnable task, long lastNanos) {
        long startNanos = mClock.nanoTime();
        // One pass accepts the connections that wait, and the next one reads from them.
        mClock.schedule(
                NEXT_PASS,
                () -> mClock.schedule(NEXT_PASS, () -> runIfShort(startNanos, task, lastNanos)));
    }

    private void runIfShort(long startNanos, Runnable task, long lastNanos) {
        long nowNanos = mClock.nanoTime();
        boolean isShort = nowNanos - startNanos <= MAX_AGE.toNanos();
        if (isShort || nowNanos - lastNanos >= 0) {
            task.run();
        } else {
            run(task, lastNanos);
        }
    }
}
