package org.tanagergap.agent.load;

/** Readiness of the agent; safe for use by several threads. */
public final class AgentReadiness {

    private volatile boolean mDraining;
    private volatile boolean mUpstreamReady;

    /** Refuses new work from now on. */
    public void startDraining() {
        mDraining = true;
    }

    /** True once draining has started. */
    public boolean draining() {
        return mDraining;
    }

    /** Sets the upstream's readiness: true if it is reachable and has no orphaned runs. */
    public void setUpstreamReady(boolean ready) {
        mUpstreamReady = ready;
    }

    /** True if the upstream is reachable and has no orphaned runs. */
    public boolean upstreamReady() {
        return mUpstreamReady;
    }

    /** True if the upstream is ready and the agent is not draining. */
    public boolean acceptsWork() {
        return mUpstreamReady && !mDraining;
    }
}
