package org.tanagergap.gateway.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Accepted configuration of the gateway. */
public final class GatewayConfiguration {

    private final long mVersion;
    private final Map<String, List<Route>> mRoutesByHost = new HashMap<>();
    private final Map<String, ServiceTarget> mServices;
    private final CallerLimits mLimits;
    private final Optional<Map<String, KeyOwner>> mKeys;

    /**
     * Creates a configuration.
     *
     * @param keys owners by key; empty when requests need no key
     */
    public GatewayConfiguration(
            long version,
            List<Route> routes,
            Map<String, ServiceTarget> services,
            CallerLimits limits,
            Optional<Map<String, KeyOwner>> keys) {
        mVersion = version;
        mServices = Map.copyOf(services);
        mLimits = limits;
        mKeys = keys.map(Map::copyOf);
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        routes.stream()
                .sorted(longestFirst)
                .forEach(
                        route ->
                                mRoutesByHost
                                        .computeIfAbsent(route.host(), h -> new ArrayList<>())
                                        .add(route));
    }

    public long version() {
        return mVersion;
    }

    public CallerLimits limits() {
        return mLimits;
    }

    /** Route with the longest prefix of the path. */
    public Optional<Route> route(String host, String path) {
        return mRoutesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    public Optional<ServiceTarget> service(String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /** Returns true if requests on routes that are not open need a key. */
    public boolean keysRequired() {
        return mKeys.isPresent();
    }

    /** Workspace to which the key belongs. */
    public Optional<KeyOwner> owner(String key) {
        return mKeys.map(keys -> keys.get(key));
    }

    public int routeCount() {
        return mRoutesByHost.values().stream().mapToInt(List::size).sum();
    }
}
