package org.tanagergap.agent.load;

/** Readiness of the agent; read by several threads. */
public final class AgentReadiness {

    private volatile boolean mDraining;
    private volatile boolean mUpstreamReady;

    /** Refuses new work from now on. */
    public void startDraining() {
        mDraining = true;
    }

    /** Whether the agent is leaving. */
    public boolean draining() {
        return mDraining;
    }

    /** Records whether the upstream is reachable and free of unknown runs. */
    public void setUpstreamReady(boolean ready) {
        mUpstreamReady = ready;
    }

    /** Whether the upstream is reachable and free of unknown runs. */
    public boolean upstreamReady() {
        return mUpstreamReady;
    }

    /** Whether the agent accepts work. */
    public boolean acceptsWork() {
        return mUpstreamReady && !mDraining;
    }
}
