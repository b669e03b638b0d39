package org.tanagergap.gateway.wire;

import java.util.Objects;
import java.util.Optional;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Upstream that reads a part of a prompt.
 *
 * @param address its address
 * @param reservation identifier of the memory reserved there, when there is any
 */
public record HelperAddress(HostPort address, Optional<String> reservation) {

    public HelperAddress {
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(reservation, "reservation must not be null");
    }
}
