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

/** The policies that measurements compare. */
public final class Policies {

    private Policies() {}

    /** Returns the scheduler, router and priorities of Tanagergap with their default settings. */
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

    /**
     * Returns the baseline: round-robin routing and first-come, first-served scheduling, without
     * shares, a queue limit or priorities.
     */
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
