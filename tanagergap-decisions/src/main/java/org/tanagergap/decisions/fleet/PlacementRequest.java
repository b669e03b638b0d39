package org.tanagergap.decisions.fleet;

import java.util.Objects;
import org.tanagergap.api.request.RequestCost;

/**
 * Properties of a request on which its placement depends.
 *
 * @param cost its tokens; zero for a plain call
 * @param firstTokenSlackMillis time left until it misses its first-token target, in ms; negative
 *     when it has missed it
 * @param timeToDeadlineMillis time left until its response is of no use to the caller, in ms
 * @param interTokenTargetMillis longest gap between its events that meets its target, in ms
 * @param unreportedPlacements expected number of requests that other instances have placed and not
 *     yet reported
 */
public record PlacementRequest(
        RequestCost cost,
        double firstTokenSlackMillis,
        double timeToDeadlineMillis,
        double interTokenTargetMillis,
        double unreportedPlacements) {

    /** Loss when a stream of a thousand tokens misses its target. */
    private static final double LOSS_PER_KILO_TOKEN = 1;

    /** The work that is lost grows with a stream's tokens, its value to the caller more slowly. */
    private static final double LOSS_EXPONENT = 0.25;

    private static final double KILO = 1000;

    public PlacementRequest {
        Objects.requireNonNull(cost, "cost must not be null");
    }

    /** Returns the loss if the request misses its target, relative to that of other requests. */
    public double loss() {
        double kiloTokens = Math.max(1, cost.memoryTokens() / KILO);
        return LOSS_PER_KILO_TOKEN * Math.pow(kiloTokens, LOSS_EXPONENT);
    }
}
