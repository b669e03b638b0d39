package org.tanagergap.measure.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;

/** Measures the cost per unit of size on which {@code docs/CAPACITY.md} bases its estimates. */
public final class CapacityMain {

    private static final Path REPORT = Path.of("docs", "measurements", "capacity.md");

    private CapacityMain() {}

    public static void main(String[] args)
            throws IOException, ExecutionException, InterruptedException {
        List<Slope> slopes = new ArrayList<>();
        slopes.addAll(ConfigurationSlopes.measure());
        slopes.addAll(RouterSlopes.measure());
        slopes.addAll(SchedulerSlopes.measure());
        slopes.addAll(IntentSlopes.measure());
        slopes.addAll(ExchangeCost.measure());
        StringBuilder text =
                new StringBuilder(
                        """
                        # Slopes for the capacity page

                        Written by `bin/capacity`. A slope is the cost of one more unit of size, by
                        least squares; fixed costs are left out.

                        | quantity | slope | unit | points (size: cost) |
                        |---|---|---|---|
                        """);
        for (Slope slope : slopes) {
            text.append(
                    "| %s | %.1f | %s | %s |%n"
                            .formatted(
                                    slope.quantity(),
                                    slope.perUnit(),
                                    slope.unit(),
                                    slope.points()));
        }
        Files.createDirectories(REPORT.getParent());
        Files.writeString(REPORT, text.toString());
        System.out.print(text);
    }
}
