package org.tanagergap.measure;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.fleet.Policy;
import org.tanagergap.measure.report.HintLagPlot;
import org.tanagergap.measure.report.ReportWriter;
import org.tanagergap.measure.report.ResultRow;
import org.tanagergap.measure.scenario.MixedLoadScenario;
import org.tanagergap.measure.scenario.OverloadScenario;
import org.tanagergap.measure.scenario.Policies;
import org.tanagergap.measure.scenario.RankOverloadScenario;
import org.tanagergap.measure.scenario.Scenario;
import org.tanagergap.measure.scenario.ScenarioRunner;
import org.tanagergap.measure.scenario.Workloads;
import org.tanagergap.measure.scenario.WorkspaceFairnessScenario;
import org.tanagergap.runtime.program.ExitStatus;

/** Measures routing and scheduling decisions on the paused clock; writes tables and plots. */
@Command(name = "measure", description = "Measures the decisions against a naive baseline")
public final class MeasureMain {

    private static final List<Duration> HINT_LAGS =
            List.of(
                    Duration.ofMillis(100),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(5));
    private static final double NANOS_PER_SECOND = 1e9;

    @AirlineModule HelpOption<MeasureMain> mHelp;

    @Option(name = "--seeds", title = "list", description = "Seeds, separated by commas")
    String mSeeds = "1,2,3";

    @Option(name = "--threads", title = "n", description = "Runs side by side")
    int mThreads = 4;

    @Option(name = "--output", title = "directory", description = "Where reports are written")
    String mOutput = "docs/measurements";

    @Option(
            name = "--scenario",
            title = "name",
            description = "mixed, flood-batch, flood-urgent, workspaces, overload or all")
    String mScenario = "all";

    @Option(name = "--skip-lag", description = "Leaves out the sweep over the age of hints")
    boolean mSkipLag;

    public static void main(String[] args) throws IOException {
        SingleCommand<MeasureMain> parser = SingleCommand.singleCommand(MeasureMain.class);
        try {
            MeasureMain command = parser.parse(args);
            if (!command.mHelp.showHelpIfRequested()) {
                command.run();
            }
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(ExitStatus.INVALID_SETTINGS);
        }
    }

    private void run() throws IOException {
        List<Long> seeds = Arrays.stream(mSeeds.split(",")).map(Long::valueOf).toList();
        List<FleetSettings> fleets = List.of(FleetSettings.kapakon(), FleetSettings.huonShea());
        List<Policy> policies = List.of(Policies.product(), Policies.naive());
        ReportWriter writer = new ReportWriter(Path.of(mOutput));
        try (ScenarioRunner runner = new ScenarioRunner(mThreads, seeds)) {
            List<ResultRow> rows = new ArrayList<>();
            for (FleetSettings fleet : fleets) {
                for (Map.Entry<String, Scenario> scenario : scenarios().entrySet()) {
                    System.out.println(fleet.name() + ": " + scenario.getKey());
                    List<ResultRow> added = runner.run(scenario.getValue(), fleet, policies);
                    added.forEach(MeasureMain::print);
                    rows.addAll(added);
                }
            }
            writer.write("decisions", "Decisions under load", seeds, rows, Policies.naive().name());
            if (!mSkipLag) {
                sweepHintLag(runner, fleets, seeds, writer);
            }
        }
    }

    private void sweepHintLag(
            ScenarioRunner runner,
            List<FleetSettings> fleets,
            List<Long> seeds,
            ReportWriter writer)
            throws IOException {
        HintLagPlot plot = new HintLagPlot("First token, short prompts, p95", "seconds");
        List<ResultRow> rows = new ArrayList<>();
        for (FleetSettings fleet : fleets) {
            List<Double> lags = new ArrayList<>();
            List<Double> firstTokens = new ArrayList<>();
            for (Duration lag : HINT_LAGS) {
                System.out.println(fleet.name() + ": hints aged " + lag.toMillis() + " ms");
                List<ResultRow> result =
                        runner.run(
                                new MixedLoadScenario(),
                                fleet.withHintLag(lag),
                                List.of(Policies.product()));
                result.forEach(row -> rows.add(labelWithLag(row, lag)));
                lags.add(lag.toNanos() / NANOS_PER_SECOND);
                firstTokens.add(
                        result.get(0).values().stream().mapToDouble(v -> v).max().orElseThrow());
            }
            plot.add(fleet.name(), lags, firstTokens);
        }
        writer.write("hint-lag", "Figures by the age of load hints", seeds, rows, "none");
        plot.write(Path.of(mOutput), "hint-lag");
    }

    private static ResultRow labelWithLag(ResultRow row, Duration lag) {
        return new ResultRow(
                row.fleet(),
                row.policy(),
                "hints aged %d ms: %s".formatted(lag.toMillis(), row.measure()),
                row.target(),
                row.values(),
                row.met());
    }

    private Map<String, Scenario> scenarios() {
        Map<String, Scenario> all = new LinkedHashMap<>();
        all.put("mixed", new MixedLoadScenario());
        all.put("flood-batch", new RankOverloadScenario(Workloads.BATCH));
        all.put("flood-urgent", new RankOverloadScenario(Workloads.URGENT));
        all.put("workspaces", new WorkspaceFairnessScenario());
        all.put("overload", new OverloadScenario());
        if (!mScenario.equals("all")) {
            all.keySet().retainAll(List.of(mScenario.split(",")));
        }
        return all;
    }

    private static void print(ResultRow row) {
        System.out.printf(
                "  %-12s %-62s %-24s %-20s %s%n",
                row.policy(),
                row.measure(),
                row.target(),
                row.range(),
                row.met() ? "met" : "MISSED");
    }
}
