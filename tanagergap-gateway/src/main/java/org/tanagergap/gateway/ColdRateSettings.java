package org.tanagergap.gateway;

/**
 * Requests that may arrive at a cold upstream in any second from all instances together.
 *
 * @param factor factor of the rate that the upstream sustains
 * @param extra further requests
 */
public record ColdRateSettings(double factor, double extra) {

    /** Returns the bound for an upstream that sustains a rate while it is cold. */
    public double bound(double requestsPerSecond) {
        return factor * requestsPerSecond + extra;
    }
}
