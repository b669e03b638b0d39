package org.tanagergap.agent.load;

import java.time.Duration;
import java.util.Optional;
import org.tanagergap.agent.engine.EngineLoad;
import org.tanagergap.api.time.RuntimeClock;

/** Latest load report of the engine and its age. */
public final class LatestLoadReport {

    private final RuntimeClock mClock;
    private EngineLoad mLatest;
    private long mLastSampleNanos;

    public LatestLoadReport(RuntimeClock clock) {
        mClock = clock;
        mLastSampleNanos = clock.nanoTime();
    }

    /** Records a report; a repeated report, with the same sample time, does not reset the age. */
    public synchronized void record(EngineLoad load) {
        if (mLatest == null || mLatest.sampledAtMillis() != load.sampledAtMillis()) {
            mLastSampleNanos = mClock.nanoTime();
        }
        mLatest = load;
    }

    /** Latest report; empty before the first one. */
    public synchronized Optional<EngineLoad> latest() {
        return Optional.ofNullable(mLatest);
    }

    /** Time since the last new sample was received, by this process's clock. */
    public synchronized Duration age() {
        return Duration.ofNanos(mClock.nanoTime() - mLastSampleNanos);
    }
}
