package org.tanagergap.measure.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.tanagergap.api.request.LengthBand;
import org.tanagergap.measure.fleet.FleetRun;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;
import org.tanagergap.measure.report.Measurement;
import org.tanagergap.measure.workload.RequestClass;
import org.tanagergap.measure.workload.RequestRecord;

/** Compares a steady 70% load of all prompt lengths with its short prompts alone. */
public final class MixedLoadScenario implements Scenario {

    private static final double LOAD = 0.7;
    private static final double QUANTILE = 0.95;
    private static final Duration LOAD_DURATION = Duration.ofMinutes(5);
    private static final Duration WARM_UP = Duration.ofSeconds(30);
    private static final Duration TOLERANCE = Duration.ofMillis(200);

    @Override
    public List<Measurement> run(FleetSettings fleet, Policy policy, long seed) {
        FleetRun mixed = run(fleet, policy, seed, true);
        FleetRun alone = run(fleet, policy, seed, false);
        Predicate<RequestRecord> shortPrompts =
                r -> r.lengthBand() == LengthBand.SHORT && r.arrivalNanos() >= WARM_UP.toNanos();
        List<RequestRecord> requests = mixed.requests();
        double firstToken = Statistics.firstTokenSeconds(requests, shortPrompts, QUANTILE);
        double aloneFirstToken =
                Statistics.firstTokenSeconds(alone.requests(), shortPrompts, QUANTILE);
        List<Measurement> measurements = new ArrayList<>();
        measurements.add(
                Measurement.atMost(
                        "first token, short prompts beside long, p95", 0.68, "s", firstToken));
        measurements.add(
                Measurement.atMost(
                        "slow-down of short prompts beside long, p95",
                        1.25,
                        "times",
                        firstToken / aloneFirstToken));
        measurements.add(
                Measurement.atMost(
                        "time between tokens, p95",
                        72,
                        "ms",
                        mixed.tokenGaps().getValueAtPercentile(95) / 1e6));
        measurements.add(
                Measurement.atMost(
                        "admitted requests that failed at their deadline, mixed load",
                        0,
                        "requests",
                        Statistics.deadlineExceededCount(requests)));
        measurements.add(
                Measurement.atMost(
                        "admitted requests without an end at their deadline",
                        0,
                        "requests",
                        Statistics.admittedUnresolvedAtDeadline(requests, TOLERANCE)));
        measurements.add(
                Measurement.atMost(
                        "engine memory unaccounted for after the run",
                        0,
                        "tokens",
                        mixed.memoryUnaccountedFor()));
        return measurements;
    }

    private static FleetRun run(
            FleetSettings fleet, Policy policy, long seed, boolean withLongPrompts) {
        FleetRun run = new FleetRun(fleet, policy, seed);
        for (RequestClass requestClass : Workloads.mixed(fleet, LOAD)) {
            if (withLongPrompts || requestClass.name().equals(Workloads.URGENT)) {
                run.offer(requestClass, Duration.ZERO, LOAD_DURATION);
            }
        }
        run.advance(LOAD_DURATION.plus(Duration.ofMinutes(25)));
        return run;
    }
}
