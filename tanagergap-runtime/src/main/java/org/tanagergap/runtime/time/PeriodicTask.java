package org.tanagergap.runtime.time;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;

/** Runs a task at a fixed interval, measured from the end of one run to the start of the next. */
public final class PeriodicTask implements Service {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final Duration mInterval;
    private final Runnable mTask;
    private volatile boolean mStopped;
    private volatile Timer mTimer = () -> {};

    public PeriodicTask(RuntimeClock clock, Duration interval, Runnable task) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mInterval = Objects.requireNonNull(interval, "interval must not be null");
        mTask = Objects.requireNonNull(task, "task must not be null");
    }

    @Override
    public CompletableFuture<Void> start() {
        mStopped = false;
        scheduleNext();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mStopped = true;
        mTimer.cancel();
        return CompletableFuture.completedFuture(null);
    }

    private void scheduleNext() {
        if (!mStopped) {
            mTimer = mClock.schedule(mInterval, this::runOnce);
        }
    }

    private void runOnce() {
        try {
            mTask.run();
        } catch (RuntimeException | StackOverflowError e) {
            sLogger.atWarning().withCause(e).log(
                    "periodic task with an interval of %d ms failed", mInterval.toMillis());
        }
        scheduleNext();
    }
}
