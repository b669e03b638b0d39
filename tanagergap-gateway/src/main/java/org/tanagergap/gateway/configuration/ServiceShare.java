package org.tanagergap.gateway.configuration;

import java.util.Objects;

/**
 * Share of a route's requests that goes to one service.
 *
 * @param service name of the service
 * @param weight share relative to the other services of the route
 */
public record ServiceShare(String service, double weight) {

    public ServiceShare {
        Objects.requireNonNull(service, "service must not be null");
    }
}
