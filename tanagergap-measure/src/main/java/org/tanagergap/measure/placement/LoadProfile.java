package org.tanagergap.measure.placement;

import java.util.List;
import org.tanagergap.decisions.fleet.EngineProfile;

/**
 * Load of one service and the fleet that serves it.
 *
 * @param name name of the load
 * @param engine cost model of its engines
 * @param engines number of engines
 * @param instances number of instances that place requests
 * @param routes load of each route
 */
record LoadProfile(
        String name, EngineProfile engine, int engines, int instances, List<RouteLoad> routes) {

    /**
     * Load of one route. Prompt lengths are log-normal.
     *
     * @param perSecond requests a second
     * @param promptTokens mean tokens of a prompt
     * @param spread standard deviation of the logarithm of the prompt tokens
     * @param events events after the first one
     * @param targetMillis target for the first token, in ms
     * @param interTokenTargetMillis target for the gap between events, in ms
     * @param timeoutMillis time after which callers give up, in ms
     */
    record RouteLoad(
            String name,
            double perSecond,
            double promptTokens,
            double spread,
            int events,
            double targetMillis,
            double interTokenTargetMillis,
            double timeoutMillis) {

        private RouteLoad times(double factor) {
            return new RouteLoad(
                    name,
                    perSecond * factor,
                    promptTokens,
                    spread,
                    events,
                    targetMillis,
                    interTokenTargetMillis,
                    timeoutMillis);
        }
    }

    /** Returns the same load for each engine on another number of engines. */
    LoadProfile withEngines(int count, int instanceCount) {
        return new LoadProfile(name, engine, count, instanceCount, routes)
                .times((double) count / engines);
    }

    /** Returns a load whose routes have that many times the requests. */
    LoadProfile times(double factor) {
        List<RouteLoad> scaled = routes.stream().map(r -> r.times(factor)).toList();
        return new LoadProfile(name, engine, engines, instances, scaled);
    }
}
