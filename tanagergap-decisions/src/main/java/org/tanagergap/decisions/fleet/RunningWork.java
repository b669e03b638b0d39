package org.tanagergap.decisions.fleet;

import org.tanagergap.api.request.RequestCost;

/** One request at one upstream, from its sending to its end. Confined to the event loop. */
public final class RunningWork {

    /** Part of the read that is assumed to be left until the first token shows that none is. */
    private static final double LEAST_READ_LEFT = 0.2;

    /** Share of an engine's time that a read gets beside other work. */
    private static final double READ_PROGRESS = 0.6;

    private static final double NANOS_PER_MILLI = 1e6;

    private final String mUpstream;
    private final RequestCost mCost;
    private final double mReadMillis;
    private final boolean mLongRead;
    private final long mStartNanos;
    private boolean mWriting;

    RunningWork(
            String upstream,
            RequestCost cost,
            double readMillis,
            boolean longRead,
            long startNanos) {
        mUpstream = upstream;
        mCost = cost;
        mReadMillis = readMillis;
        mLongRead = longRead;
        mStartNanos = startNanos;
    }

    /** Upstream that runs the work. */
    public String upstream() {
        return mUpstream;
    }

    /** Time to read the prompt on an idle engine, in ms. */
    public double readMillis() {
        return mReadMillis;
    }

    /** Records that the first token has arrived. */
    public void firstToken() {
        mWriting = true;
    }

    UpstreamLoad load(long nowNanos) {
        if (mWriting) {
            return new UpstreamLoad(1, 1, 0, 0, mCost.memoryTokens());
        }
        double elapsed = (nowNanos - mStartNanos) / NANOS_PER_MILLI;
        double left =
                Math.max(LEAST_READ_LEFT * mReadMillis, mReadMillis - READ_PROGRESS * elapsed);
        return new UpstreamLoad(1, 0, left, mLongRead ? 1 : 0, mCost.memoryTokens());
    }
}
