package org.tanagergap.measure.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.tanagergap.measure.fleet.FleetRun;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;
import org.tanagergap.measure.report.Measurement;
import org.tanagergap.measure.workload.RequestClass;
import org.tanagergap.measure.workload.RequestRecord;

/**
 * Sends the requests of one work rank at ten times the fleet's capacity, on top of the steady load.
 * Measures how much service the other ranks retain.
 */
public final class RankOverloadScenario implements Scenario {

    private static final double STEADY_LOAD = 0.7;
    private static final double OVERLOAD = 10;
    private static final Duration OVERLOAD_START = Duration.ofMinutes(4);
    private static final Duration OVERLOAD_END = Duration.ofMinutes(8);
    // Ranks need some time after the start to fill their windows.
    private static final Duration SETTLING_TIME = Duration.ofSeconds(30);
    private static final Map<String, Integer> FLOOR_PERCENT_BY_RANK =
            Map.of(
                    Workloads.URGENT, Workloads.URGENT_FLOOR_PERCENT,
                    Workloads.STANDARD, Workloads.STANDARD_FLOOR_PERCENT,
                    Workloads.BATCH, Workloads.BATCH_FLOOR_PERCENT);

    private final String mOverloadedRank;

    public RankOverloadScenario(String overloadedRank) {
        mOverloadedRank = overloadedRank;
    }

    @Override
    public List<Measurement> run(FleetSettings fleet, Policy policy, long seed) {
        FleetRun run = new FleetRun(fleet, policy, seed);
        Workloads.mixed(fleet, STEADY_LOAD).forEach(c -> run.offer(c, Duration.ZERO, OVERLOAD_END));
        overload(fleet).forEach(c -> run.offer(c, OVERLOAD_START, OVERLOAD_END));
        run.recordProgressAt(OVERLOAD_START.plus(SETTLING_TIME));
        run.recordProgressAt(OVERLOAD_END);
        run.advance(OVERLOAD_END.plus(Duration.ofMinutes(25)));
        List<Measurement> measurements = new ArrayList<>();
        for (String rank : List.of(Workloads.URGENT, Workloads.STANDARD, Workloads.BATCH)) {
            if (!rank.equals(mOverloadedRank)) {
                measurements.add(
                        mOverloadedRank.equals(Workloads.URGENT)
                                ? floorAttainment(run, rank)
                                : goodputRetention(run, rank));
            }
        }
        measurements.add(
                Measurement.atMost(
                        "flood of " + mOverloadedRank + ": admitted requests that failed",
                        0,
                        "requests",
                        Statistics.deadlineExceededCount(run.requests())));
        measurements.add(
                Measurement.atMost(
                        "flood of " + mOverloadedRank + ": memory unaccounted for",
                        0,
                        "tokens",
                        run.memoryUnaccountedFor()));
        return measurements;
    }

    private List<RequestClass> overload(FleetSettings fleet) {
        return mOverloadedRank.equals(Workloads.URGENT)
                ? Workloads.urgent(fleet, OVERLOAD)
                : Workloads.batch(fleet, OVERLOAD);
    }

    private Measurement goodputRetention(FleetRun run, String rank) {
        double before =
                Statistics.servedShare(
                        run.requests(),
                        Statistics.arrivedWithin(
                                rank, SETTLING_TIME, OVERLOAD_START.minus(SETTLING_TIME)));
        double during =
                Statistics.servedShare(
                        run.requests(),
                        Statistics.arrivedWithin(
                                rank, OVERLOAD_START.plus(SETTLING_TIME), OVERLOAD_END));
        return Measurement.atLeast(
                "flood of %s: goodput that %s keeps".formatted(mOverloadedRank, rank),
                95,
                "%",
                100 * during / before);
    }

    /** Relates the rank's service to the smaller of its demand and its guaranteed floor. */
    private Measurement floorAttainment(FleetRun run, String rank) {
        Duration from = OVERLOAD_START.plus(SETTLING_TIME);
        Predicate<RequestRecord> ofRank = r -> r.requestClass().policy().rank().equals(rank);
        double served =
                Statistics.servedTokensPerSecond(run.requests(), ofRank, from, OVERLOAD_END);
        double demand = offeredTokensPerSecond(run, rank, from, OVERLOAD_END);
        double floor =
                Workloads.fleetCapacity(run.settings()) * FLOOR_PERCENT_BY_RANK.get(rank) / 100;
        return Measurement.atLeast(
                "flood of %s: floor that %s keeps".formatted(mOverloadedRank, rank),
                90,
                "%",
                100 * served / Math.min(demand, floor));
    }

    private static double offeredTokensPerSecond(
            FleetRun run, String rank, Duration from, Duration until) {
        double tokens =
                run.requests().stream()
                        .filter(Statistics.arrivedWithin(rank, from, until))
                        .mapToLong(RequestRecord::workTokens)
                        .sum();
        return tokens / until.minus(from).toSeconds();
    }
}
