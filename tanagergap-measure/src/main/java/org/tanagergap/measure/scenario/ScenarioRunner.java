package org.tanagergap.measure.scenario;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;
import org.tanagergap.measure.report.Measurement;
import org.tanagergap.measure.report.ResultRow;

/** Runs scenarios for several seeds in parallel and collects their measurements. */
public final class ScenarioRunner implements AutoCloseable {

    private final ExecutorService mExecutor;
    private final List<Long> mSeeds;

    public ScenarioRunner(int threads, List<Long> seeds) {
        mExecutor = Executors.newFixedThreadPool(threads);
        mSeeds = List.copyOf(seeds);
    }

    /** Runs the scenario with every policy and returns one row per policy and measure. */
    public List<ResultRow> run(Scenario scenario, FleetSettings fleet, List<Policy> policies) {
        Map<Policy, List<CompletableFuture<List<Measurement>>>> runs = new LinkedHashMap<>();
        for (Policy policy : policies) {
            List<CompletableFuture<List<Measurement>>> bySeed = new ArrayList<>();
            for (long seed : mSeeds) {
                bySeed.add(
                        CompletableFuture.supplyAsync(
                                () -> scenario.run(fleet, policy, seed), mExecutor));
            }
            runs.put(policy, bySeed);
        }
        List<ResultRow> rows = new ArrayList<>();
        runs.forEach(
                (policy, bySeed) ->
                        rows.addAll(
                                rows(
                                        fleet,
                                        policy,
                                        bySeed.stream().map(CompletableFuture::join).toList())));
        return rows;
    }

    @Override
    public void close() {
        mExecutor.shutdown();
    }

    private static List<ResultRow> rows(
            FleetSettings fleet, Policy policy, List<List<Measurement>> bySeed) {
        List<ResultRow> rows = new ArrayList<>();
        for (int i = 0; i < bySeed.get(0).size(); i++) {
            int index = i;
            List<Measurement> measurements = bySeed.stream().map(list -> list.get(index)).toList();
            Measurement first = measurements.get(0);
            rows.add(
                    new ResultRow(
                            fleet.name(),
                            policy.name(),
                            first.measure(),
                            first.target(),
                            measurements.stream().map(Measurement::value).toList(),
                            measurements.stream().allMatch(Measurement::met)));
        }
        return rows;
    }
}
