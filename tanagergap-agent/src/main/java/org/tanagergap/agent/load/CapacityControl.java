package org.tanagergap.agent.load;

import org.tanagergap.agent.engine.EngineLoad;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;

/**
 * Sets the scheduler's capacity: the configured memory, or what the engine reports when that is
 * less.
 */
public final class CapacityControl {

    private final UpstreamScheduler mScheduler;
    private long mConfigured;
    private long mReported = Long.MAX_VALUE;

    public CapacityControl(UpstreamScheduler scheduler, long initialTokens) {
        mScheduler = scheduler;
        mConfigured = initialTokens;
        mScheduler.setCapacity(initialTokens);
    }

    /** Applies the configured memory; 0 leaves it unchanged. */
    public synchronized void configure(long memoryTokens) {
        if (memoryTokens > 0) {
            mConfigured = memoryTokens;
            apply();
        }
    }

    /** Applies the engine's own statement. */
    public synchronized void report(EngineLoad load) {
        if (load.memoryTokensTotal() > 0 && load.memoryTokensTotal() != mReported) {
            mReported = load.memoryTokensTotal();
            apply();
        }
    }

    private void apply() {
        mScheduler.setCapacity(Math.min(mConfigured, mReported));
    }
}
