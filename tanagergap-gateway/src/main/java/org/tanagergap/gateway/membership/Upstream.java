package org.tanagergap.gateway.membership;

import java.util.Objects;
import org.tanagergap.runtime.settings.HostPort;

/**
 * Upstream as registered with the platform.
 *
 * @param id identifier under which the upstream is registered; it may be reused after a restart
 * @param service service that it belongs to
 * @param address address for requests
 * @param failureDomain failure domain in which it runs
 * @param slots number of requests that it processes concurrently
 * @param draining whether it must receive no new requests
 * @param startedAtMillis time of its start, in Unix milliseconds, 0 if unknown; differs when an
 *     identifier is reused
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

    /** Returns whether the start time is known, so that incarnations can be told apart. */
    public boolean hasStartTime() {
        return startedAtMillis != 0;
    }

    /** Identifier that differs for each start of the upstream, also if it keeps {@link #id()}. */
    public String incarnation() {
        return id + "@" + startedAtMillis;
    }
}
