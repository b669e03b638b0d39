package org.tanagergap.decisions.ratelimit;

/**
 * Answer of the issuer of an upstream's permits to one instance.
 *
 * @param permits number of requests that the instance may send now; may be 0
 * @param requestsPerSecond rate at which further permits for the instance can be expected
 */
public record PermitGrant(int permits, double requestsPerSecond) {

    public PermitGrant {
        if (permits < 0 || !(requestsPerSecond >= 0)) {
            throw new IllegalArgumentException(
                    "permits and rate must not be negative: " + permits + ", " + requestsPerSecond);
        }
    }
}
