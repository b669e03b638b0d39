package org.tanagergap.gateway.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Rule for the requests of one host whose path starts with a prefix.
 *
 * @param name name of the route
 * @param host host name, in lower case
 * @param pathPrefix start of the path, with a slash at both ends
 * @param kind kind of the requests
 * @param timeout longest time that a request may take
 * @param latencyTarget target for the time to the response, or to the first event of a stream
 * @param interTokenTarget target for the time between two events of a stream
 * @param clientTimeout time after which callers give up on a stream that has not begun
 * @param rank rank of the requests; 0 is the most urgent
 * @param services services that serve the route, with their shares
 * @param maxAttempts largest number of upstreams that may run one request
 * @param open whether requests need no key
 * @param resumable whether an interrupted stream may continue at another upstream
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        Duration timeout,
        Duration latencyTarget,
        Optional<Duration> interTokenTarget,
        Optional<Duration> clientTimeout,
        int rank,
        List<ServiceShare> services,
        int maxAttempts,
        boolean open,
        boolean resumable) {

    public Route {
        Objects.requireNonNull(name, "name must not be null");
        Objects.requireNonNull(host, "host must not be null");
        Objects.requireNonNull(pathPrefix, "pathPrefix must not be null");
        services = List.copyOf(services);
    }

    /** Returns true if a request may run more than once. */
    public boolean retryable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }
}
