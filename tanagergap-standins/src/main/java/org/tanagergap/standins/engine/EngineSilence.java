package org.tanagergap.standins.engine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Period in which an engine neither reads requests nor sends data on any connection. All that is
 * due in the period happens in order at its end. Confined to the event loop.
 */
final class EngineSilence {

    private final RuntimeClock mClock;
    private final Queue<Runnable> mDelayed = new ArrayDeque<>();
    private boolean mSilent;

    EngineSilence(RuntimeClock clock) {
        mClock = clock;
    }

    /** Begins a period unless one has begun. */
    void begin(Duration period) {
        if (!mSilent) {
            mSilent = true;
            mClock.schedule(period, this::end);
        }
    }

    /** Runs a task that reads or sends data, now or at the end of the period. */
    void run(Runnable task) {
        if (mSilent) {
            mDelayed.add(task);
        } else {
            task.run();
        }
    }

    private void end() {
        mSilent = false;
        while (!mSilent && !mDelayed.isEmpty()) {
            mDelayed.remove().run();
        }
    }
}
