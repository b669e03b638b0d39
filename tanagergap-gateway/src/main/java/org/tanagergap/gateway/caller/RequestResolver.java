package org.tanagergap.gateway.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.gateway.configuration.GatewayConfiguration;
import org.tanagergap.gateway.configuration.KeyOwner;
import org.tanagergap.gateway.configuration.Route;
import org.tanagergap.gateway.configuration.ServiceShare;
import org.tanagergap.gateway.configuration.ServiceTarget;
import org.tanagergap.gateway.wire.GatewayCallerHeaders;

/** Resolves a request to its route, service, workspace and limits in the configuration. */
public final class RequestResolver {

    private static final RequestCost NO_COST = new RequestCost(0, 0);

    /** An instance that has just started usually has a configuration after this time. */
    private static final Duration NO_CONFIGURATION_RETRY_AFTER = Duration.ofMillis(500);

    private final RandomGenerator mRandom;

    public RequestResolver(RandomGenerator random) {
        mRandom = random;
    }

    /** Resolves a request; throws a {@link RequestFailure} if it is refused. */
    public GatewayRequest resolve(
            Optional<GatewayConfiguration> current,
            HttpServerRequest request,
            GatewayCallerHeaders headers,
            Buffer body,
            long arrivalNanos) {
        GatewayConfiguration configuration = current.orElseThrow(RequestResolver::notConfigured);
        Route route =
                configuration
                        .route(host(request), Optional.ofNullable(request.path()).orElse("/"))
                        .orElseThrow(RequestResolver::noRoute);
        Optional<KeyOwner> owner = owner(configuration, route, headers);
        ServiceTarget service = service(configuration, route);
        Duration requested = headers.requestedTimeout().orElse(route.timeout());
        Duration limit = requested.compareTo(route.timeout()) < 0 ? requested : route.timeout();
        return new GatewayRequest(
                route,
                service,
                owner.map(KeyOwner::workspace),
                rank(route, owner),
                headers.cost().orElse(NO_COST),
                headers.sharedPromptParts(),
                headers.lastEventId(),
                request.method(),
                request.uri(),
                request.headers(),
                body,
                arrivalNanos,
                arrivalNanos + route.latencyTarget().toNanos(),
                arrivalNanos + limit.toNanos(),
                configuration.version());
    }

    /** Returns the rank of a request; the lowest one if it will be refused. */
    public int rank(
            Optional<GatewayConfiguration> current,
            HttpServerRequest request,
            GatewayCallerHeaders headers) {
        Optional<Route> route =
                current.flatMap(
                        c ->
                                c.route(
                                        host(request),
                                        Optional.ofNullable(request.path()).orElse("/")));
        if (route.isEmpty()) {
            return Integer.MAX_VALUE;
        }
        Optional<KeyOwner> owner = headers.key().flatMap(key -> current.flatMap(c -> c.owner(key)));
        return rank(route.get(), owner);
    }

    private static String host(HttpServerRequest request) {
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        int colon = host.lastIndexOf(':');
        boolean hasPort = colon > 0 && host.indexOf(']', colon) < 0;
        return (hasPort ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
    }

    private static Optional<KeyOwner> owner(
            GatewayConfiguration configuration, Route route, GatewayCallerHeaders headers) {
        if (route.open() || !configuration.keysRequired()) {
            return Optional.empty();
        }
        Optional<KeyOwner> owner = headers.key().flatMap(configuration::owner);
        if (owner.isEmpty()) {
            throw RequestFailure.notRun(
                    FailureCode.UNAUTHORIZED, "the key is missing or belongs to no workspace");
        }
        return owner;
    }

    private static int rank(Route route, Optional<KeyOwner> owner) {
        return owner.map(o -> o.rank().orElse(route.rank())).orElse(route.rank());
    }

    private ServiceTarget service(GatewayConfiguration configuration, Route route) {
        List<ServiceShare> shares = route.services();
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        double drawn = mRandom.nextDouble() * total;
        String name = shares.get(shares.size() - 1).service();
        for (ServiceShare share : shares) {
            drawn -= share.weight();
            if (drawn < 0) {
                name = share.service();
                break;
            }
        }
        String service = name;
        return configuration
                .service(name)
                .orElseThrow(
                        () ->
                                RequestFailure.notRun(
                                        FailureCode.UNKNOWN_SERVICE,
                                        "service \"" + service + "\" does not exist"));
    }

    private static RequestFailure notConfigured() {
        return RequestFailure.notRun(
                        FailureCode.UNAVAILABLE, "this instance has no configuration yet")
                .withRetryAfter(NO_CONFIGURATION_RETRY_AFTER);
    }

    private static RequestFailure noRoute() {
        return RequestFailure.notRun(
                FailureCode.UNKNOWN_ROUTE, "no route leads anywhere from this host and path");
    }
}
