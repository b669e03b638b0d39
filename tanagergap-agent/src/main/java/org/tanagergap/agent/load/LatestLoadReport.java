package org.tanagergap.agent.load;

import java.time.Duration;
import java.util.Optional;
import org.tanagergap.agent.engine.EngineLoad;
import org.tanagergap.api.time.RuntimeClock;

/** Last load report of the engine and its age. */
public final class LatestLoadReport {

    private final RuntimeClock mClock;
    private EngineLoad mLast;
    private long mLastSampleNanos;

    public LatestLoadReport(RuntimeClock clock) {
        mClock = clock;
        mLastSampleNanos = clock.nanoTime();
    }

    /** Records a report; one with the time of the last report does not renew its age. */
    public synchronized void record(EngineLoad load) {
        if (mLast == null || mLast.sampledAtMillis() != load.sampledAtMillis()) {
            mLastSampleNanos = mClock.nanoTime();
        }
        mLast = load;
    }

    /** Last report. */
    public synchronized Optional<EngineLoad> last() {
        return Optional.ofNullable(mLast);
    }

    /** Time since the last new sample, by this process's clock. */
    public synchronized Duration age() {
        return Duration.ofNanos(mClock.nanoTime() - mLastSampleNanos);
    }
}
