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

/**
 * Measures fairness between workspaces: first one workspace requests twenty times its fair share,
 * then every workspace requests more than its share.
 */
public final class WorkspaceFairnessScenario implements Scenario {

    private static final Duration LOAD_DURATION = Duration.ofMinutes(2);
    private static final Duration WARM_UP = Duration.ofSeconds(20);

    @Override
    public List<Measurement> run(FleetSettings fleet, Policy policy, long seed) {
        return List.of(
                oneWorkspaceOverloaded(fleet, policy, seed),
                allWorkspacesSaturated(fleet, policy, seed));
    }

    private static Measurement oneWorkspaceOverloaded(
            FleetSettings fleet, Policy policy, long seed) {
        int workspaces = Workloads.workspaceCount();
        double share = 1.0 / workspaces;
        // The other workspaces request between 0.5 and 1.5 times their fair share.
        List<Double> loads = new ArrayList<>(List.of(20 * share));
        for (int i = 1; i < workspaces; i++) {
            loads.add(share * (0.5 + (i - 1.0) / (workspaces - 2)));
        }
        FleetRun run = run(fleet, policy, seed, loads);
        double fairShare = Workloads.fleetCapacity(fleet) * share;
        double worstRatio = Double.POSITIVE_INFINITY;
        for (int i = 1; i < workspaces; i++) {
            double demand = offeredTokensPerSecond(run, Workloads.workspaceName(i));
            double achieved = goodput(run, sentBy(Workloads.workspaceName(i)));
            worstRatio = Math.min(worstRatio, achieved / Math.min(demand, fairShare));
        }
        return Measurement.atLeast(
                "one workspace at 20 times its share: least kept by another",
                95,
                "%",
                100 * worstRatio);
    }

    private static Measurement allWorkspacesSaturated(
            FleetSettings fleet, Policy policy, long seed) {
        int workspaces = Workloads.workspaceCount();
        List<Double> loads = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            loads.add((1.5 + i) / workspaces);
        }
        FleetRun run = run(fleet, policy, seed, loads);
        double[] achieved = new double[workspaces];
        for (int i = 0; i < workspaces; i++) {
            achieved[i] = goodput(run, sentBy(Workloads.workspaceName(i)));
        }
        return Measurement.atLeast(
                "Jain's index of workspaces at saturation",
                0.95,
                "",
                Statistics.jainIndex(achieved));
    }

    private static FleetRun run(FleetSettings fleet, Policy policy, long seed, List<Double> loads) {
        FleetRun run = new FleetRun(fleet, policy, seed);
        for (int i = 0; i < loads.size(); i++) {
            run.offer(
                    Workloads.urgentForWorkspace(
                            fleet, Workloads.workspaceName(i), 1, loads.get(i)),
                    Duration.ZERO,
                    LOAD_DURATION);
        }
        run.advance(LOAD_DURATION.plus(Duration.ofMinutes(1)));
        return run;
    }

    private static Predicate<RequestRecord> sentBy(String workspace) {
        return r -> r.requestClass().policy().workspace().equals(workspace);
    }

    private static double goodput(FleetRun run, Predicate<RequestRecord> filter) {
        return Statistics.goodput(run.requests(), filter, WARM_UP, LOAD_DURATION);
    }

    private static double offeredTokensPerSecond(FleetRun run, String workspace) {
        double tokens =
                run.requests().stream()
                        .filter(sentBy(workspace))
                        .filter(r -> r.arrivalNanos() >= WARM_UP.toNanos())
                        .mapToLong(RequestRecord::workTokens)
                        .sum();
        return tokens / LOAD_DURATION.minus(WARM_UP).toSeconds();
    }
}
