package org.tanagergap.gateway.membership;

import java.time.Duration;

/**
 * Time from a response of the store to the next poll of an instance that hears no peer. It grows
 * with the number of instances, none of which may hear another.
 */
final class PollInterval {

    /**
     * A draining upstream must receive no new requests 2 s after its notice, and two polls may fail
     * in that time.
     */
    static final Duration SHORTEST = Duration.ofMillis(600);

    /** Up to this number of instances each one polls at the shortest interval. */
    private static final int MAX_INSTANCES_AT_SHORTEST = 5;

    /**
     * Longest interval in shortest ones: a change is read within 2 s even if no peer reports it.
     */
    private static final int MAX_FACTOR = 3;

    private PollInterval() {}

    /** Returns the interval for that many instances. */
    static Duration of(int instances) {
        double loadFactor = (double) instances / MAX_INSTANCES_AT_SHORTEST;
        double factor = Math.max(1, Math.min(MAX_FACTOR, loadFactor));
        return Duration.ofMillis((long) (SHORTEST.toMillis() * factor));
    }
}
