package org.tanagergap.decisions.fleet;

import java.util.Objects;
import org.tanagergap.api.request.RequestCost;

/**
 * What a placement knows of a request.
 *
 * @param cost its tokens; zero for a plain call
 * @param aimLeftMillis time left until its first token is late, in ms; negative when it is late
 * @param timeLeftMillis time left until its answer is useless, in ms
 * @param gapMillis longest pause between its events with which it is on time, in ms
 */
public record PlacementRequest(
        RequestCost cost, double aimLeftMillis, double timeLeftMillis, double gapMillis) {

    /** Streams with a shorter limit on pauses are disturbed by any long read, in ms. */
    private static final double DELICATE_GAP_MILLIS = 400;

    public PlacementRequest {
        Objects.requireNonNull(cost, "cost must not be null");
    }

    /** Whether a long read beside it would make it late. */
    public boolean delicate() {
        return gapMillis < DELICATE_GAP_MILLIS;
    }
}
