package org.tanagergap.gateway.forward;

import java.util.Objects;

/**
 * Identity of this instance.
 *
 * @param id unique name
 * @param failureDomain failure domain in which the instance runs
 */
public record InstanceIdentity(String id, String failureDomain) {

    public InstanceIdentity {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(failureDomain, "failureDomain must not be null");
    }
}
