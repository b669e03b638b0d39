package org.tanagergap.gateway.forward;

import java.util.Objects;

/**
 * Who this instance is.
 *
 * @param id its unique name
 * @param failureDomain failure domain in which it stands
 */
public record InstanceIdentity(String id, String failureDomain) {

    public InstanceIdentity {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(failureDomain, "failureDomain must not be null");
    }
}
