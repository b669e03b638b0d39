package org.tanagergap.gateway.configuration;

import java.util.Objects;
import java.util.Optional;
import org.tanagergap.decisions.fleet.EngineProfile;

/**
 * Service that requests are forwarded to.
 *
 * @param name name of the service
 * @param engine cost model, if the service consists of model engines
 */
public record ServiceTarget(String name, Optional<EngineProfile> engine) {

    public ServiceTarget {
        Objects.requireNonNull(name, "name must not be null");
        Objects.requireNonNull(engine, "engine must not be null");
    }
}
