package org.tanagergap.decisions.fleet;

import java.util.Objects;
import org.tanagergap.api.request.RequestCost;

/** One request at one upstream, from its dispatch to its end. Confined to the event loop. */
public final class InFlightRequest {

    /** Minimum share of the prefill that is assumed to remain until the first token arrives. */
    private static final double MIN_PREFILL_LEFT_SHARE = 0.2;

    /**
     * Share of the idle prefill rate that a prefill gets while the engine serves other requests.
     */
    private static final double PREFILL_RATE_SHARE = 0.8;

    /** Time to a first-token target is rounded to this, so that equal values are merged. */
    private static final double PENDING_STEP_MILLIS = 100;

    private static final double NANOS_PER_MILLI = 1e6;

    private final String mUpstream;
    private final Demand mDemand;
    private final long mStartNanos;
    private final StreamTargets mInterTokenTarget;
    private boolean mDecoding;

    /**
     * Resources that a request needs at an upstream.
     *
     * @param cost tokens that it occupies there
     * @param prefillMillis time to prefill its part of the prompt on an idle engine, in ms
     * @param decodes true at the upstream that generates the output, false at a helper, which only
     *     prefills
     * @param interTokenTargetMillis longest gap between its events that meets its target, in ms
     * @param firstTokenSlackMillis time from its dispatch to its first-token target, in ms
     * @param loss loss if it misses a target, relative to that of other requests
     */
    public record Demand(
            RequestCost cost,
            double prefillMillis,
            boolean decodes,
            double interTokenTargetMillis,
            double firstTokenSlackMillis,
            double loss) {

        public Demand {
            Objects.requireNonNull(cost, "cost must not be null");
        }
    }

    InFlightRequest(String upstream, Demand demand, long startNanos) {
        mUpstream = upstream;
        mDemand = demand;
        mStartNanos = startNanos;
        mInterTokenTarget = StreamTargets.of(demand.interTokenTargetMillis(), demand.loss());
    }

    public String upstream() {
        return mUpstream;
    }

    /** Records the arrival of the first token, after which no prefill remains. */
    public void firstTokenArrived() {
        mDecoding = true;
    }

    UpstreamLoad load(long nowNanos) {
        int running = mDemand.decodes() ? 1 : 0;
        StreamTargets targets = mDemand.decodes() ? mInterTokenTarget : StreamTargets.NONE;
        long memory = mDemand.cost().memoryTokens();
        if (mDecoding) {
            return new UpstreamLoad(running, targets, running, 0, memory, StreamTargets.NONE);
        }
        double prefill = mDemand.prefillMillis();
        double elapsed = (nowNanos - mStartNanos) / NANOS_PER_MILLI;
        double left =
                Math.max(MIN_PREFILL_LEFT_SHARE * prefill, prefill - PREFILL_RATE_SHARE * elapsed);
        return new UpstreamLoad(running, targets, 0, left, memory, pending(elapsed));
    }

    private StreamTargets pending(double elapsedMillis) {
        double left = mDemand.firstTokenSlackMillis() - elapsedMillis;
        if (left <= 0) {
            return StreamTargets.NONE;
        }
        double steps = Math.max(1, Math.rint(left / PENDING_STEP_MILLIS));
        return StreamTargets.of(steps * PENDING_STEP_MILLIS, mDemand.loss());
    }
}
