package org.tanagergap.state.fake;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Queue;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.testing.PausedClock;

/**
 * Simulated process that can be paused and crashed. While it is paused, time advances but no task
 * runs; tasks that became due run on resumption. After a crash no task runs.
 */
public final class SimulatedProcess implements RuntimeClock {

    private final PausedClock mClock;
    private final Queue<Runnable> mDeferred = new ArrayDeque<>();
    private boolean mPaused;
    private boolean mCrashed;

    public SimulatedProcess(PausedClock clock) {
        mClock = clock;
    }

    /** Runs the task now, or after the pause; drops it after a crash. */
    public void deliver(Runnable task) {
        if (mPaused) {
            mDeferred.add(task);
        } else if (!mCrashed) {
            task.run();
        }
    }

    public boolean running() {
        return !mPaused && !mCrashed;
    }

    public void pause() {
        mPaused = true;
    }

    /** Resumes and runs the tasks that became due during the pause. */
    public void resume() {
        mPaused = false;
        while (!mDeferred.isEmpty()) {
            deliver(mDeferred.remove());
        }
    }

    public void crash() {
        mCrashed = true;
        mPaused = false;
        mDeferred.clear();
    }

    @Override
    public Instant now() {
        return mClock.now();
    }

    @Override
    public long nanoTime() {
        return mClock.nanoTime();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        boolean[] cancelled = new boolean[1];
        mClock.schedule(
                delay,
                () ->
                        deliver(
                                () -> {
                                    if (!cancelled[0]) {
                                        task.run();
                                    }
                                }));
        return () -> cancelled[0] = true;
    }
}
