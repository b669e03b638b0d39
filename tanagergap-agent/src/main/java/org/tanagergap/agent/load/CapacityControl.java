package org.tanagergap.agent.load;

import org.tanagergap.agent.engine.EngineLoad;
import org.tanagergap.decisions.scheduling.UpstreamScheduler;

/**
 * Sets the scheduler's capacity to the configured memory or the memory reported by the engine,
 * whichever is less.
 */
public final class CapacityControl {

    private final UpstreamScheduler mScheduler;
    private long mConfiguredTokens;
    private long mReportedTokens = Long.MAX_VALUE;

    public CapacityControl(UpstreamScheduler scheduler, long initialTokens) {
        mScheduler = scheduler;
        mConfiguredTokens = initialTokens;
        mScheduler.setCapacity(initialTokens);
    }

    /** Applies the configured memory; 0 leaves it unchanged. */
    public synchronized void configure(long memoryTokens) {
        if (memoryTokens > 0) {
            mConfiguredTokens = memoryTokens;
            apply();
        }
    }

    /** Applies the memory that the engine reports; 0 leaves it unchanged. */
    public synchronized void report(EngineLoad load) {
        if (load.memoryTokensTotal() > 0 && load.memoryTokensTotal() != mReportedTokens) {
            mReportedTokens = load.memoryTokensTotal();
            apply();
        }
    }

    private void apply() {
        mScheduler.setCapacity(Math.min(mConfiguredTokens, mReportedTokens));
    }
}
