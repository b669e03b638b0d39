package org.tanagergap.decisions.ratelimit;

import java.time.Duration;
import java.util.Objects;
import java.util.OptionalDouble;

/**
 * Rate limit that an upstream advertised in a response, as instances report it to each other.
 *
 * @param requestsPerSecond the limit; empty if the response ended it
 * @param age time since the response
 */
public record RateLimitObservation(OptionalDouble requestsPerSecond, Duration age) {

    public RateLimitObservation {
        Objects.requireNonNull(requestsPerSecond, "requestsPerSecond must not be null");
        Objects.requireNonNull(age, "age must not be null");
        requestsPerSecond.ifPresent(RateLimitNotice::requireLimit);
    }
}
