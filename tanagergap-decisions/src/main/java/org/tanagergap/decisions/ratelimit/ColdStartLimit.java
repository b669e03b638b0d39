package org.tanagergap.decisions.ratelimit;

import java.time.Duration;

/**
 * Load that an upstream sustains while it is cold, that is for some time after its start.
 *
 * @param duration longest time for which it stays cold; zero if unknown
 * @param requestsPerSecond requests per second that it sustains from all instances together
 * @param bound requests that may arrive in any second from all instances together
 */
public record ColdStartLimit(Duration duration, double requestsPerSecond, double bound) {

    public ColdStartLimit {
        RateLimitNotice.requireLimit(requestsPerSecond);
        RateLimitNotice.requireLimit(bound);
    }
}
