package org.tanagergap.decisions.ratelimit;

/** What one response says about the rate limit of its upstream. */
public sealed interface RateLimitNotice {

    /**
     * The upstream advertises a limit for all instances together.
     *
     * @param requestsPerSecond the limit; 0 if the upstream wants no requests
     */
    record Limited(double requestsPerSecond) implements RateLimitNotice {

        public Limited {
            requireLimit(requestsPerSecond);
        }
    }

    /** The upstream has answered without a limit, which ends an earlier one. */
    record Unlimited() implements RateLimitNotice {}

    /** The response does not show whether there is a limit. */
    record Unknown() implements RateLimitNotice {}

    /** Throws {@link IllegalArgumentException} if the number of requests per second is no limit. */
    static void requireLimit(double requestsPerSecond) {
        if (!(requestsPerSecond >= 0) || Double.isInfinite(requestsPerSecond)) {
            throw new IllegalArgumentException(
                    "rate limit must be finite and not negative: " + requestsPerSecond);
        }
    }
}
