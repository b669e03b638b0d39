package org.tanagergap.measure.scenario;

import java.time.Duration;
import java.util.List;
import org.tanagergap.measure.fleet.FleetRun;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;
import org.tanagergap.measure.report.Measurement;
import org.tanagergap.measure.workload.RequestRecord;

/** Compares the mixed load at ten times the fleet's capacity with the load at capacity. */
public final class OverloadScenario implements Scenario {

    private static final Duration LOAD_DURATION = Duration.ofMinutes(4);
    private static final Duration WARM_UP = Duration.ofMinutes(1);

    @Override
    public List<Measurement> run(FleetSettings fleet, Policy policy, long seed) {
        FleetRun capacity = run(fleet, policy, seed, 1);
        FleetRun overload = run(fleet, policy, seed, 10);
        return List.of(
                Measurement.atLeast(
                        "goodput at 10 times capacity against at capacity",
                        90,
                        "%",
                        100 * goodput(overload) / goodput(capacity)),
                Measurement.atMost(
                        "attempts per request at 10 times capacity",
                        1.1,
                        "attempts",
                        Statistics.attemptsPerRequest(overload.requests())));
    }

    private static double goodput(FleetRun run) {
        return Statistics.goodput(
                run.requests(), (RequestRecord r) -> true, WARM_UP, LOAD_DURATION);
    }

    private static FleetRun run(FleetSettings fleet, Policy policy, long seed, double load) {
        FleetRun run = new FleetRun(fleet, policy, seed);
        Workloads.mixed(fleet, load).forEach(c -> run.offer(c, Duration.ZERO, LOAD_DURATION));
        run.advance(LOAD_DURATION.plus(Duration.ofMinutes(1)));
        return run;
    }
}
