package org.tanagergap.gateway.wire;

import java.util.Objects;
import java.util.Optional;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Helper engine that prefills a part of a prompt.
 *
 * @param address address of the engine
 * @param reservation identifier of the memory that is reserved there, if any
 */
public record HelperAddress(HostPort address, Optional<String> reservation) {

    public HelperAddress {
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(reservation, "reservation must not be null");
    }
}
