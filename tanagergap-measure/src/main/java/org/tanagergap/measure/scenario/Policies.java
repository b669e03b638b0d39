package org.tanagergap.measure.scenario;

import org.tanagergap.decisions.baseline.FirstComeScheduler;
import org.tanagergap.decisions.baseline.RoundRobinRouter;
import org.tanagergap.decisions.routing.RouterSettings;
import org.tanagergap.decisions.routing.SubsetRequestRouter;
import org.tanagergap.decisions.scheduling.EnginePriority;
import org.tanagergap.decisions.scheduling.FairUpstreamScheduler;
import org.tanagergap.decisions.scheduling.SchedulerSettings;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;

/** Policies that are compared. */
public final class Policies {

    private Policies() {}

    /** The decisions of the product. */
    public static Policy product() {
        return new Policy(
                "tanagergap",
                clock ->
                        new FairUpstreamScheduler(
                                clock,
                                SchedulerSettings.defaults()
                                        .withMemoryTokens(FleetSettings.ENGINE_MEMORY_TOKENS)),
                (clock, domain, random) ->
                        new SubsetRequestRouter(clock, RouterSettings.defaults(domain), random),
                EnginePriority::of,
                3,
                0.1);
    }

    /** Round robin, first come first served, no shares, no bound of the queue, no priorities. */
    public static Policy naive() {
        return new Policy(
                "naive",
                clock -> new FirstComeScheduler(clock, FleetSettings.ENGINE_MEMORY_TOKENS),
                (clock, domain, random) -> new RoundRobinRouter(clock),
                item -> 0,
                3,
                1);
    }
}
