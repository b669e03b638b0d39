package org.tanagergap.entry.execution;

import io.vertx.core.Context;
import java.time.Duration;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;

/** Measures for how long an attempt receives nothing. Confined to the event loop of the request. */
final class StallTimer {

    private final RuntimeClock mClock;
    private final Context mEventLoop;
    private final Runnable mOnStall;
    private Timer mTimer = () -> {};

    /** Tells a timeout that waits for the event loop whether it has been cancelled since. */
    private long mStarts;

    /**
     * Creates a timer that is not started.
     *
     * @param onStall called on the event loop when the timeout has passed
     */
    StallTimer(RuntimeClock clock, Context eventLoop, Runnable onStall) {
        mClock = clock;
        mEventLoop = eventLoop;
        mOnStall = onStall;
    }

    /** Starts to measure again. */
    void restart(Duration timeout) {
        cancel();
        long start = mStarts;
        mTimer =
                mClock.schedule(
                        timeout,
                        () ->
                                mEventLoop.runOnContext(
                                        ignored -> {
                                            if (start == mStarts) {
                                                mOnStall.run();
                                            }
                                        }));
    }

    void cancel() {
        mStarts++;
        mTimer.cancel();
    }
}
