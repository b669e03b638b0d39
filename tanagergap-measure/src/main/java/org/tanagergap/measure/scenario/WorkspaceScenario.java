package org.tanagergap.measure.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.tanagergap.measure.fleet.FleetRun;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;
import org.tanagergap.measure.report.Measurement;
import org.tanagergap.measure.workload.RequestRecord;

/** One workspace asks twenty times its share; then all ask more than theirs. */
public final class WorkspaceScenario implements Scenario {

    private static final Duration LENGTH = Duration.ofMinutes(2);
    private static final Duration WARM_UP = Duration.ofSeconds(20);

    @Override
    public List<Measurement> run(FleetSettings fleet, Policy policy, long seed) {
        return List.of(oneLarge(fleet, policy, seed), saturated(fleet, policy, seed));
    }

    private static Measurement oneLarge(FleetSettings fleet, Policy policy, long seed) {
        int workspaces = Workloads.workspaces();
        double share = 1.0 / workspaces;
        // Small workspaces ask between half of their share and one and a half times it.
        List<Double> loads = new ArrayList<>(List.of(20 * share));
        for (int i = 1; i < workspaces; i++) {
            loads.add(share * (0.5 + (i - 1.0) / (workspaces - 2)));
        }
        FleetRun run = run(fleet, policy, seed, loads);
        double capacity = served(run, r -> true);
        double fairShare = capacity * share;
        double worst = Double.POSITIVE_INFINITY;
        for (int i = 1; i < workspaces; i++) {
            double demand = offered(run, Workloads.workspace(i));
            double kept = served(run, of(Workloads.workspace(i)));
            worst = Math.min(worst, kept / Math.min(demand, fairShare));
        }
        return Measurement.atLeast(
                "one workspace at 20 times its share: least kept by another", 95, "%", 100 * worst);
    }

    private static Measurement saturated(FleetSettings fleet, Policy policy, long seed) {
        int workspaces = Workloads.workspaces();
        List<Double> loads = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            loads.add((1.5 + i) / workspaces);
        }
        FleetRun run = run(fleet, policy, seed, loads);
        double[] kept = new double[workspaces];
        for (int i = 0; i < workspaces; i++) {
            kept[i] = served(run, of(Workloads.workspace(i)));
        }
        return Measurement.atLeast(
                "Jain's index of workspaces at saturation", 0.95, "", Statistics.jainIndex(kept));
    }

    private static FleetRun run(FleetSettings fleet, Policy policy, long seed, List<Double> loads) {
        FleetRun run = new FleetRun(fleet, policy, seed);
        for (int i = 0; i < loads.size(); i++) {
            run.offer(
                    Workloads.urgentOf(fleet, Workloads.workspace(i), 1, loads.get(i)),
                    Duration.ZERO,
                    LENGTH);
        }
        run.advance(LENGTH.plus(Duration.ofMinutes(1)));
        return run;
    }

    private static Predicate<RequestRecord> of(String workspace) {
        return r -> r.requestClass().policy().workspace().equals(workspace);
    }

    private static double served(FleetRun run, Predicate<RequestRecord> filter) {
        return Statistics.goodput(run.requests(), filter, WARM_UP, LENGTH);
    }

    private static double offered(FleetRun run, String workspace) {
        double tokens =
                run.requests().stream()
                        .filter(of(workspace))
                        .filter(r -> r.arrivalNanos() >= WARM_UP.toNanos())
                        .mapToLong(RequestRecord::workTokens)
                        .sum();
        return tokens / LENGTH.minus(WARM_UP).toSeconds();
    }
}
