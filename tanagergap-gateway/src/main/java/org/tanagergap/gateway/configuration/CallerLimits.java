package org.tanagergap.gateway.configuration;

import java.time.Duration;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes largest size of the first line of a request, and of its header fields
 * @param maxBodyBytes largest body of a request
 * @param headerTimeout time within which a request must arrive once it has begun
 * @param idleTimeout time after which a connection without a request is closed
 */
public record CallerLimits(
        long maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** Limits until a configuration is loaded. */
    public static final CallerLimits DEFAULT =
            new CallerLimits(64 << 10, 4 << 20, Duration.ofSeconds(5), Duration.ofSeconds(30));
}
