package org.tanagergap.gateway.configuration;

import java.util.Objects;
import java.util.Optional;
import org.tanagergap.decisions.fleet.EngineProfile;

/**
 * Service that requests are forwarded to.
 *
 * @param name name of the service
 * @param engine cost model, if the service consists of model engines
 * @param coldStart limit of its upstreams while they are cold; empty if they have none
 */
public record ServiceTarget(
        String name, Optional<EngineProfile> engine, Optional<ColdStart> coldStart) {

    public ServiceTarget {
        Objects.requireNonNull(name, "name must not be null");
        Objects.requireNonNull(engine, "engine must not be null");
        Objects.requireNonNull(coldStart, "coldStart must not be null");
    }

    /** Creates a service whose upstreams have no limit while they are cold. */
    public ServiceTarget(String name, Optional<EngineProfile> engine) {
        this(name, engine, Optional.empty());
    }
}
