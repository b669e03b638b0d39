package org.tanagergap.entry.execution;

import java.time.Duration;
import java.util.OptionalLong;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Pauses reading from the agents of a request while its caller reads too slowly. Confined to the
 * event loop of the request.
 */
final class ReadingPause {

    private final RuntimeClock mClock;
    private final ResponseSink mSink;
    private final OpenAttempts mAttempts;
    private OptionalLong mBeginNanos = OptionalLong.empty();

    ReadingPause(RuntimeClock clock, ResponseSink sink, OpenAttempts attempts) {
        mClock = clock;
        mSink = sink;
        mAttempts = attempts;
    }

    /** Pauses reading if too much waits for the caller, until it has been read. */
    void applyBackPressure() {
        if (isActive() || !mSink.isFull()) {
            return;
        }
        mBeginNanos = OptionalLong.of(mClock.nanoTime());
        mAttempts.pause();
        mSink.onDrain(
                () -> {
                    mBeginNanos = OptionalLong.empty();
                    mAttempts.resume();
                });
    }

    boolean isActive() {
        return mBeginNanos.isPresent();
    }

    /** Returns true if reading has been paused for longer than the given time. */
    boolean exceeds(Duration time) {
        return isActive() && mClock.nanoTime() - mBeginNanos.getAsLong() > time.toNanos();
    }
}
