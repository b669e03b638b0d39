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
        mTimer.cancel();
        mTimer = mClock.schedule(timeout, () -> mEventLoop.runOnContext(ignored -> mOnStall.run()));
    }

    void cancel() {
        mTimer.cancel();
    }
}
