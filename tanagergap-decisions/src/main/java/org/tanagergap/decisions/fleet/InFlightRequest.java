package org.tanagergap.decisions.fleet;

import java.util.Objects;
import org.tanagergap.api.request.RequestCost;

/** One request at one upstream, from its sending to its end. Confined to the event loop. */
public final class InFlightRequest {

    /** Part of the read that is assumed to be left until the first token shows that none is. */
    private static final double LEAST_READ_LEFT = 0.2;

    /** Demand of an engine's time that a read gets beside other work. */
    private static final double READ_PROGRESS = 0.8;

    private static final double NANOS_PER_MILLI = 1e6;

    private final String mUpstream;
    private final Demand mDemand;
    private final long mStartNanos;
    private boolean mDecoding;

    /**
     * What the request needs of the upstream.
     *
     * @param cost tokens that it holds there
     * @param prefillMillis time to read its part of the prompt on an idle engine, in ms
     * @param decodes whether it writes there; a helper only reads
     * @param latencySensitive whether a long read beside it would make it late
     */
    public record Demand(
            RequestCost cost, double prefillMillis, boolean decodes, boolean latencySensitive) {

        public Demand {
            Objects.requireNonNull(cost, "cost must not be null");
        }
    }

    InFlightRequest(String upstream, Demand demand, long startNanos) {
        mUpstream = upstream;
        mDemand = demand;
        mStartNanos = startNanos;
    }

    /** Upstream that runs the work. */
    public String upstream() {
        return mUpstream;
    }

    /** Records that the first token has arrived, so that nothing is left to read. */
    public void firstTokenArrived() {
        mDecoding = true;
    }

    UpstreamLoad load(long nowNanos) {
        int running = mDemand.decodes() ? 1 : 0;
        int latencySensitive = mDemand.decodes() && mDemand.latencySensitive() ? 1 : 0;
        long memory = mDemand.cost().memoryTokens();
        if (mDecoding) {
            return new UpstreamLoad(running, latencySensitive, running, 0, memory);
        }
        double read = mDemand.prefillMillis();
        double elapsed = (nowNanos - mStartNanos) / NANOS_PER_MILLI;
        double left = Math.max(LEAST_READ_LEFT * read, read - READ_PROGRESS * elapsed);
        return new UpstreamLoad(running, latencySensitive, 0, left, memory);
    }
}
