package org.tanagergap.measure.benchmark;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.OperatingSystemMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.util.Statistics;

/** Runs the microbenchmarks and writes their percentiles to a Markdown table. */
public final class BenchmarkMain {

    private static final String INTRODUCTION =
            """
            # Cost of decisions

            Written by `bin/benchmark` (JMH, sample mode, one fork, one thread). `submitAndDispatch`
            is `submit` plus `takeDispatchable` of the scheduler with an item of each workspace;
            `choose` is the choice of an agent among those of an entry. Target: p99 at most 20 µs at
            12,000 workspaces and 35 agents, and growth no worse than logarithmic.

            """;

    private BenchmarkMain() {}

    public static void main(String[] args) throws RunnerException, IOException {
        Path file = Path.of(args.length > 0 ? args[0] : "docs/measurements/decision-cost.md");
        String before = systemLoad();
        OptionsBuilder options = new OptionsBuilder();
        options.include("org.tanagergap.measure.benchmark.");
        Collection<RunResult> results = new Runner(options.build()).run();
        StringBuilder text = new StringBuilder(INTRODUCTION);
        text.append("Machine: load %s before and %s after.%n%n".formatted(before, systemLoad()))
                .append("| call | size | p50, µs | p99, µs | p99.9, µs | mean, µs | calls |\n")
                .append("|---|---|---|---|---|---|---|\n");
        for (RunResult result : results) {
            text.append(row(result));
        }
        Files.createDirectories(file.toAbsolutePath().getParent());
        Files.writeString(file, text);
        System.out.println(text);
    }

    private static String row(RunResult result) {
        Statistics times = result.getPrimaryResult().getStatistics();
        String size =
                result.getParams().getParamsKeys().stream()
                        .findFirst()
                        .map(key -> result.getParams().getParam(key))
                        .orElse("");
        return "| %s | %s | %.2f | %.2f | %.2f | %.2f | %d |%n"
                .formatted(
                        result.getPrimaryResult().getLabel(),
                        size,
                        times.getPercentile(50),
                        times.getPercentile(99),
                        times.getPercentile(99.9),
                        times.getMean(),
                        times.getN());
    }

    private static String systemLoad() {
        OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();
        return "%.1f on %d cores"
                .formatted(system.getSystemLoadAverage(), system.getAvailableProcessors());
    }
}
