package org.tanagergap.gateway.membership;

import java.util.Objects;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Upstream as it describes itself in the platform's list.
 *
 * @param id identifier of this start of the upstream
 * @param service service that it belongs to
 * @param address address for requests
 * @param failureDomain failure domain in which it stands
 * @param slots requests that it processes at once
 * @param leaving whether it must receive no new requests
 * @param bornMillis time of its start, in Unix milliseconds; differs when an id is used again
 */
public record Upstream(
        String id,
        String service,
        HostPort address,
        String failureDomain,
        int slots,
        boolean draining,
        long startedAtMillis) {

    public Upstream {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(failureDomain, "failureDomain must not be null");
    }
}
