package org.tanagergap.entry.caller;

import java.time.Duration;
import java.util.Objects;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Settings of the caller API.
 *
 * @param listen address of the caller port
 * @param maxBodyBytes maximum size of a body
 * @param maxBytesInFlight maximum total size of request bodies in memory
 * @param bodyTimeout time within which a body must arrive
 */
public record CallerSettings(
        HostPort listen, long maxBodyBytes, long maxBytesInFlight, Duration bodyTimeout) {
    public CallerSettings {
        Objects.requireNonNull(listen, "listen must not be null");
        Objects.requireNonNull(bodyTimeout, "bodyTimeout must not be null");
    }
}
