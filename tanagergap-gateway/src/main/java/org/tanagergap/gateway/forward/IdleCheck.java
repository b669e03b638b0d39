package org.tanagergap.gateway.forward;

import java.time.Duration;
import java.util.function.Consumer;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.stall.IdleTimeout;

/**
 * Reports each time when nothing has arrived from an upstream for the idle timeout. Time in which
 * the caller reads too slowly does not count. Confined to the event loop.
 */
final class IdleCheck {

    private final RuntimeClock mClock;
    private final IdleTimeout mTimeout;
    private final Consumer<Duration> mOnStall;
    private long mLastDataNanos;
    private boolean mBeforeFirstEvent = true;
    private boolean mPaused;
    private boolean mStopped;
    private Timer mTimer = () -> {};

    /**
     * Creates a check that is not started.
     *
     * @param onStall receives the time for which nothing has arrived
     */
    IdleCheck(RuntimeClock clock, IdleTimeout timeout, Consumer<Duration> onStall) {
        mClock = clock;
        mTimeout = timeout;
        mOnStall = onStall;
        mLastDataNanos = clock.nanoTime();
    }

    void start() {
        mLastDataNanos = mClock.nanoTime();
        scheduleAfter(timeout());
    }

    void stop() {
        mStopped = true;
        mTimer.cancel();
    }

    /**
     * Records an event.
     *
     * @return time since the previous one
     */
    Duration eventArrived() {
        Duration gap = silence();
        mBeforeFirstEvent = false;
        mLastDataNanos = mClock.nanoTime();
        return gap;
    }

    void pause() {
        mPaused = true;
    }

    void resume() {
        mPaused = false;
        mLastDataNanos = mClock.nanoTime();
    }

    /** Time since the last event or the start. */
    Duration silence() {
        return Duration.ofNanos(mClock.nanoTime() - mLastDataNanos);
    }

    private void check() {
        Duration remaining = mPaused ? timeout() : timeout().minus(silence());
        if (remaining.isNegative() || remaining.isZero()) {
            // Scheduled first, because the action may stop this check.
            scheduleAfter(timeout());
            mOnStall.accept(silence());
        } else {
            scheduleAfter(remaining);
        }
    }

    private Duration timeout() {
        return mTimeout.timeout(mBeforeFirstEvent);
    }

    private void scheduleAfter(Duration delay) {
        if (!mStopped) {
            mTimer = mClock.schedule(delay, this::check);
        }
    }
}
