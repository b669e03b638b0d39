package org.tanagergap.runtime.http;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;

/** Fails a transfer that has made no progress for a time. */
final class IdleTimer {

    private final RuntimeClock mClock;
    private final Duration mTimeout;
    private final Promise<Void> mIdle = Promise.promise();
    private Timer mTimer;
    private boolean mEnded;

    IdleTimer(RuntimeClock clock, Duration timeout) {
        mClock = clock;
        mTimeout = timeout;
        mTimer = clock.schedule(timeout, this::expired);
    }

    /** Records progress. */
    synchronized void restart() {
        mTimer.cancel();
        if (!mEnded) {
            mTimer = mClock.schedule(mTimeout, this::expired);
        }
    }

    /** Returns a future that also fails when the transfer makes no progress. */
    <T> Future<T> limit(Future<T> transfer) {
        Promise<T> result = Promise.promise();
        mIdle.future().onFailure(result::tryFail);
        transfer.onComplete(result::tryComplete, result::tryFail);
        return result.future().onComplete(ignored -> end());
    }

    private void expired() {
        mIdle.tryFail(new TimeoutException("no progress for " + mTimeout.toMillis() + " ms"));
    }

    private synchronized void end() {
        mEnded = true;
        mTimer.cancel();
    }
}
