package org.tanagergap.decisions.ratelimit;

import java.time.Duration;
import java.util.Optional;

/**
 * Pause that an upstream has asked for when it refused a request for want of capacity. Confined to
 * the event loop.
 */
public final class UpstreamPause {

    /** Longer pauses are probably errors of the upstream, which is tried again after this time. */
    private static final Duration MAX_PAUSE = Duration.ofSeconds(10);

    private long mUntilNanos;
    private boolean mPaused;

    /** Begins a pause, or extends the present one. */
    public void begin(Duration duration, long nowNanos) {
        long untilNanos = nowNanos + Math.min(MAX_PAUSE.toNanos(), duration.toNanos());
        if (!mPaused || untilNanos - mUntilNanos > 0) {
            mPaused = true;
            mUntilNanos = untilNanos;
        }
    }

    /** Returns the time until requests may be sent again; empty if they may be sent now. */
    public Optional<Duration> remaining(long nowNanos) {
        mPaused &= nowNanos - mUntilNanos < 0;
        return mPaused ? Optional.of(Duration.ofNanos(mUntilNanos - nowNanos)) : Optional.empty();
    }
}
