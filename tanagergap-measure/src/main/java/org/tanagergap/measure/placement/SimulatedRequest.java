package org.tanagergap.measure.placement;

import java.util.ArrayList;
import java.util.List;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.decisions.fleet.InFlightRequest;
import org.tanagergap.decisions.fleet.PlacementRequest;

/** Request of the simulation. Times are simulated milliseconds. */
final class SimulatedRequest {

    private final LoadProfile.RouteLoad mRoute;
    private final RequestCost mCost;
    private final int mEvents;
    private final double mArrivalMillis;
    private final List<InFlightRequest> mLoads = new ArrayList<>();
    private int mPartsLeft;
    private int mEventsSent;
    private double mLastEventMillis;
    private double mFirstMillis = Double.MAX_VALUE;
    private double mLongestGapMillis;

    SimulatedRequest(
            LoadProfile.RouteLoad route, RequestCost cost, int events, double arrivalMillis) {
        mRoute = route;
        mCost = cost;
        mEvents = events;
        mArrivalMillis = arrivalMillis;
    }

    LoadProfile.RouteLoad route() {
        return mRoute;
    }

    RequestCost cost() {
        return mCost;
    }

    int events() {
        return mEvents;
    }

    List<InFlightRequest> loads() {
        return mLoads;
    }

    PlacementRequest placementRequest(double nowMillis, double unreported) {
        double elapsed = nowMillis - mArrivalMillis;
        return new PlacementRequest(
                mCost,
                mRoute.targetMillis() - elapsed,
                mRoute.timeoutMillis() - elapsed,
                mRoute.interTokenTargetMillis(),
                unreported);
    }

    void placed(int parts) {
        mPartsLeft = parts;
    }

    void partPrefilled(double nowMillis) {
        mPartsLeft--;
        if (mPartsLeft == 0) {
            event(nowMillis);
        }
    }

    boolean firstTokenPossible() {
        return mPartsLeft == 0;
    }

    void event(double nowMillis) {
        if (mEventsSent == 0) {
            mFirstMillis = nowMillis - mArrivalMillis;
            mLoads.forEach(InFlightRequest::firstTokenArrived);
        } else {
            mLongestGapMillis = Math.max(mLongestGapMillis, nowMillis - mLastEventMillis);
        }
        mEventsSent++;
        mLastEventMillis = nowMillis;
    }

    boolean complete() {
        return mEventsSent > mEvents;
    }

    boolean expired(double nowMillis) {
        return mEventsSent == 0 && nowMillis - mArrivalMillis > mRoute.timeoutMillis();
    }

    /** Returns the time to the first token; the caller's timeout if there was none, in ms. */
    double firstTokenMillis() {
        return Math.min(mFirstMillis, mRoute.timeoutMillis());
    }

    /** Returns true if the first token and all gaps were within their targets. */
    boolean inTime() {
        return complete()
                && mFirstMillis <= mRoute.targetMillis()
                && mLongestGapMillis <= mRoute.interTokenTargetMillis();
    }
}
