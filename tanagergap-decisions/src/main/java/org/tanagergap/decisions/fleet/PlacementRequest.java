package org.tanagergap.decisions.fleet;

import java.util.Objects;
import org.tanagergap.api.request.RequestCost;

/**
 * What a placement knows of a request.
 *
 * @param cost its tokens; zero for a plain call
 * @param firstTokenSlackMillis time left until its first token is late, in ms; negative when it is
 *     late
 * @param timeToDeadlineMillis time left until its answer is useless, in ms
 * @param interTokenTargetMillis longest pause between its events with which it is on time, in ms
 */
public record PlacementRequest(
        RequestCost cost,
        double firstTokenSlackMillis,
        double timeToDeadlineMillis,
        double interTokenTargetMillis) {

    /** Streams with a shorter limit on pauses are disturbed by any long read, in ms. */
    private static final double DELICATE_GAP_MILLIS = 400;

    public PlacementRequest {
        Objects.requireNonNull(cost, "cost must not be null");
    }

    /** Whether a long read beside it would make it late. */
    public boolean isLatencySensitive() {
        return interTokenTargetMillis < DELICATE_GAP_MILLIS;
    }
}
