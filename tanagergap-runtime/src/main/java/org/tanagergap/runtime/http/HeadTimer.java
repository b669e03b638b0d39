package org.tanagergap.runtime.http;

import java.time.Duration;
import java.util.function.Consumer;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.runtime.time.PendingReads;

/** Reports that the head of a request has not arrived in time. Confined to the event loop. */
final class HeadTimer {

    private static final Timer NO_TIMER = () -> {};

    private final RuntimeClock mClock;
    private final PendingReads mReads;
    private final Consumer<Runnable> mEventLoop;
    private final Runnable mOnExpiry;
    private Timer mTimer = NO_TIMER;
    private long mStarts;

    /**
     * Creates a timer that does not run.
     *
     * @param eventLoop runs tasks where the connection is confined to
     */
    HeadTimer(
            RuntimeClock clock,
            PendingReads reads,
            Consumer<Runnable> eventLoop,
            Runnable onExpiry) {
        mClock = clock;
        mReads = reads;
        mEventLoop = eventLoop;
        mOnExpiry = onExpiry;
    }

    /** Starts unless it runs already. */
    void start(Duration timeout) {
        if (mTimer == NO_TIMER) {
            long start = ++mStarts;
            mTimer = mClock.schedule(timeout, () -> expired(start));
        }
    }

    void cancel() {
        mTimer.cancel();
        mTimer = NO_TIMER;
        mStarts++;
    }

    /** The end of the head may have arrived and be unread. */
    private void expired(long start) {
        mReads.thenRun(() -> mEventLoop.accept(() -> report(start)));
    }

    private void report(long start) {
        if (start == mStarts) {
            mOnExpiry.run();
        }
    }
}
