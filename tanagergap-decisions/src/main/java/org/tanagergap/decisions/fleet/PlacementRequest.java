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
 */
public record PlacementRequest(
        RequestCost cost,
        double firstTokenSlackMillis,
        double timeToDeadlineMillis,
        double interTokenTargetMillis) {

    /** Streams with a shorter inter-token target miss it whenever a long prefill runs, in ms. */
    private static final double LATENCY_SENSITIVE_TARGET_MILLIS = 400;

    public PlacementRequest {
        Objects.requireNonNull(cost, "cost must not be null");
    }

    /** Returns true if a long prefill on the same engine would make the request miss its target. */
    public boolean isLatencySensitive() {
        return interTokenTargetMillis < LATENCY_SENSITIVE_TARGET_MILLIS;
    }
}
