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

/** One rank arrives at ten times the fleet's capacity beside the steady load. */
public final class FloodScenario implements Scenario {

    private static final double LOAD = 0.7;
    private static final double FLOOD_LOAD = 10;
    private static final Duration FLOOD_START = Duration.ofMinutes(4);
    private static final Duration FLOOD_END = Duration.ofMinutes(8);
    // Ranks need some time after the start to fill their windows.
    private static final Duration SETTLING = Duration.ofSeconds(30);
    private static final Map<String, Integer> FLOORS =
            Map.of(
                    Workloads.URGENT, Workloads.URGENT_FLOOR,
                    Workloads.STANDARD, Workloads.STANDARD_FLOOR,
                    Workloads.BATCH, Workloads.BATCH_FLOOR);

    private final String mFloodedRank;

    public FloodScenario(String floodedRank) {
        mFloodedRank = floodedRank;
    }

    @Override
    public List<Measurement> run(FleetSettings fleet, Policy policy, long seed) {
        FleetRun run = new FleetRun(fleet, policy, seed);
        Workloads.mixed(fleet, LOAD).forEach(c -> run.offer(c, Duration.ZERO, FLOOD_END));
        flood(fleet).forEach(c -> run.offer(c, FLOOD_START, FLOOD_END));
        run.recordProgressAt(FLOOD_START.plus(SETTLING));
        run.recordProgressAt(FLOOD_END);
        run.advance(FLOOD_END.plus(Duration.ofMinutes(25)));
        List<Measurement> figures = new ArrayList<>();
        for (String rank : List.of(Workloads.URGENT, Workloads.STANDARD, Workloads.BATCH)) {
            if (!rank.equals(mFloodedRank)) {
                figures.add(
                        mFloodedRank.equals(Workloads.URGENT)
                                ? floorKept(run, rank)
                                : goodputKept(run, rank));
            }
        }
        figures.add(
                Measurement.atMost(
                        "flood of " + mFloodedRank + ": admitted requests that failed",
                        0,
                        "requests",
                        Statistics.admittedThatFailed(run.requests())));
        figures.add(
                Measurement.atMost(
                        "flood of " + mFloodedRank + ": memory unaccounted for",
                        0,
                        "tokens",
                        run.memoryUnaccountedFor()));
        return figures;
    }

    private List<RequestClass> flood(FleetSettings fleet) {
        return mFloodedRank.equals(Workloads.URGENT)
                ? Workloads.urgent(fleet, FLOOD_LOAD)
                : Workloads.batch(fleet, FLOOD_LOAD);
    }

    private Measurement goodputKept(FleetRun run, String rank) {
        double before =
                Statistics.servedShare(
                        run.requests(),
                        Statistics.arrivals(rank, SETTLING, FLOOD_START.minus(SETTLING)));
        double during =
                Statistics.servedShare(
                        run.requests(),
                        Statistics.arrivals(rank, FLOOD_START.plus(SETTLING), FLOOD_END));
        return Measurement.atLeast(
                "flood of %s: goodput that %s keeps".formatted(mFloodedRank, rank),
                95,
                "%",
                100 * during / before);
    }

    /** Compares service with the smaller of the rank's demand and its floor. */
    private Measurement floorKept(FleetRun run, String rank) {
        Duration from = FLOOD_START.plus(SETTLING);
        Predicate<RequestRecord> all = r -> r.requestClass().policy().rank().equals(rank);
        double served = Statistics.service(run.requests(), all, from, FLOOD_END);
        double demand = offered(run, rank, from, FLOOD_END);
        double floor = Workloads.fleetCapacity(run.settings()) * FLOORS.get(rank) / 100;
        return Measurement.atLeast(
                "flood of %s: floor that %s keeps".formatted(mFloodedRank, rank),
                90,
                "%",
                100 * served / Math.min(demand, floor));
    }

    private static double offered(FleetRun run, String rank, Duration from, Duration until) {
        double tokens =
                run.requests().stream()
                        .filter(Statistics.arrivals(rank, from, until))
                        .mapToLong(RequestRecord::workTokens)
                        .sum();
        return tokens / until.minus(from).toSeconds();
    }
}
