package org.tanagergap.runtime.http;

import java.time.Duration;
import java.util.Objects;

/**
 * Limits of the transfer of a buffered response.
 *
 * @param idleTimeout longest time without a byte
 * @param timeout longest time to the complete response, so that one byte now and then does not keep
 *     a call open
 * @param maxBodyBytes size of the largest body
 */
public record TransferLimits(Duration idleTimeout, Duration timeout, int maxBodyBytes) {

    public TransferLimits {
        Objects.requireNonNull(idleTimeout, "idleTimeout must not be null");
        Objects.requireNonNull(timeout, "timeout must not be null");
        if (maxBodyBytes < 1) {
            throw new IllegalArgumentException("maxBodyBytes must be positive: " + maxBodyBytes);
        }
    }

    /** Returns limits under which a response has one timeout from its request to its end. */
    public static TransferLimits of(Duration timeout, int maxBodyBytes) {
        return new TransferLimits(timeout, timeout, maxBodyBytes);
    }
}
