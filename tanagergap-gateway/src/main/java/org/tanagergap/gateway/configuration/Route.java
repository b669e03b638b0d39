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
 * @param kind what the requests are
 * @param timeout longest time that a request may take
 * @param aim time within which an answer is on time: its first event for streams
 * @param gapAim longest pause between events with which a stream is on time
 * @param patience time after which callers give up on a stream that has not begun
 * @param rank rank of the requests; 0 is the most urgent
 * @param services services that serve the route, with their shares
 * @param maxAttempts most upstreams that may run one request
 * @param open whether requests need no key
 * @param resumable whether a broken stream may go on at another upstream
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

    /** Whether a request may run more than once. */
    public boolean retryable() {
        return kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable);
    }
}
