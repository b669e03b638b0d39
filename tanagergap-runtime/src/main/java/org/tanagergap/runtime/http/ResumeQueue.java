package org.tanagergap.runtime.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Connections on which received bytes wait. Other connections are read in between: bytes that are
 * there already could keep the event loop from them for seconds. Confined to the event loop.
 */
final class ResumeQueue {

    private static final Duration DELAY = Duration.ofMillis(1);

    /** Time for waiting bytes in a pass of the event loop. */
    private static final Duration PASS_TIME = Duration.ofMillis(5);

    private final RuntimeClock mClock;
    private final Deque<InboundHandler> mWaiting = new ArrayDeque<>();
    private boolean mScheduled;

    ResumeQueue(RuntimeClock clock) {
        mClock = clock;
    }

    /** Lets the connection pass on a part of its bytes in a later pass of the event loop. */
    void add(InboundHandler handler) {
        mWaiting.add(handler);
        if (!mScheduled) {
            mScheduled = true;
            mClock.schedule(DELAY, () -> handler.onEventLoop(this::resumeSome));
        }
    }

    private void resumeSome() {
        long endNanos = mClock.nanoTime() + PASS_TIME.toNanos();
        int waiting = mWaiting.size();
        mScheduled = false;
        for (int i = 0; i < waiting && mClock.nanoTime() < endNanos; i++) {
            mWaiting.remove().resume();
        }
        if (!mScheduled && !mWaiting.isEmpty()) {
            add(mWaiting.remove());
        }
    }
}
