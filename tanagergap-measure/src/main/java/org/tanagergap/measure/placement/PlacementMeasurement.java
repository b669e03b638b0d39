package org.tanagergap.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.tanagergap.decisions.fleet.EngineProfile;
import org.tanagergap.measure.placement.LoadProfile.RouteLoad;

/** Plays loads of different deployments and prints the share of each route that was in time. */
public final class PlacementMeasurement {

    private static final double PLAY_MILLIS = 8_000;
    private static final double[] FACTORS = {1, 1.7, 2.3};
    private static final int SEEDS = 3;
    private static final double REPORT_DELAY_MILLIS = 10;

    private static final EngineProfile SMALL_ENGINE =
            new EngineProfile(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 0.075);
    private static final EngineProfile LARGE_FLEET_ENGINE =
            new EngineProfile(7, 232_000, 68, 1.02, 0.0033, 0.0043, 206, 0.138, 0.075);
    private static final EngineProfile FAST_ENGINE =
            new EngineProfile(11, 450_000, 46, 0.925, 0.0048, 0.0025, 256, 0.092, 0.1);

    private static final EngineProfile TRADE_ENGINE =
            new EngineProfile(8, 267_750, 57, 0.85, 0.0064, 0.00285, 177, 0.184, 0.05);

    private PlacementMeasurement() {}

    /**
     * Load of a trade counter, whose callers ask for short answers in one hour and for long reports
     * in another.
     *
     * @param shortFactor times the usual rate of short prompts
     * @param mediumFactor times the usual rate of medium prompts
     * @param longFactor times the usual rate of the longest prompts
     */
    static LoadProfile tradeCounter(double shortFactor, double mediumFactor, double longFactor) {
        return new LoadProfile(
                "trade-counter",
                TRADE_ENGINE,
                78,
                9,
                List.of(
                        new RouteLoad("counter", 78 * shortFactor, 4_960, 0.9, 32, 304, 250, 2_400),
                        new RouteLoad(
                                "draft", 5 * mediumFactor, 45_000, 0.5, 19, 1_500, 600, 8_000),
                        new RouteLoad(
                                "history",
                                2 * longFactor,
                                210_000,
                                0.45,
                                16,
                                4_000,
                                1_000,
                                15_000)));
    }

    /** Loads whose routes, engines and fleets differ. */
    static List<LoadProfile> loads() {
        return List.of(
                new LoadProfile(
                        "matching",
                        SMALL_ENGINE,
                        21,
                        5,
                        List.of(
                                new RouteLoad("quick", 24, 4_960, 0.9, 33, 300, 250, 2_000),
                                new RouteLoad("catalogue", 2.2, 45_000, 0.5, 20, 1_500, 600, 8_000),
                                new RouteLoad(
                                        "archive", 0.9, 133_000, 0.5, 16, 5_000, 1_000, 15_000))),
                new LoadProfile(
                        "tray-line",
                        FAST_ENGINE,
                        18,
                        6,
                        List.of(
                                new RouteLoad("question", 24.3, 4_960, 0.9, 35, 300, 200, 2_000),
                                new RouteLoad("log", 1.77, 45_000, 0.5, 21, 1_500, 500, 8_000),
                                new RouteLoad(
                                        "season", 0.73, 210_000, 0.5, 17, 3_000, 800, 15_000))),
                new LoadProfile(
                        "matching-large",
                        LARGE_FLEET_ENGINE,
                        172,
                        33,
                        List.of(
                                new RouteLoad("quick", 171, 4_960, 0.9, 23, 400, 250, 2_500),
                                new RouteLoad(
                                        "catalogue", 13.4, 45_000, 0.5, 14, 1_500, 600, 8_000),
                                new RouteLoad(
                                        "archive", 6.4, 190_000, 0.55, 11, 6_000, 1_000, 15_000))));
    }

    /** Plays each load as it is, and with a burst. */
    public static void main(String[] args) {
        List<Runnable> plays = new ArrayList<>();
        plays.add(() -> play(tradeCounter(1, 1, 1), 1));
        plays.add(() -> play(tradeCounter(3.2, 0.5, 0.05), 1));
        plays.add(() -> play(tradeCounter(0.4, 2.2, 3.6), 1));
        for (LoadProfile load : loads()) {
            for (double factor : FACTORS) {
                plays.add(() -> play(load, factor));
            }
        }
        plays.parallelStream().forEach(Runnable::run);
    }

    private static void play(LoadProfile load, double factor) {
        List<PlacementRun.Result> results = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            results.add(
                    new PlacementRun(load.times(factor), REPORT_DELAY_MILLIS, seed)
                            .play(PLAY_MILLIS));
        }
        StringBuilder routes = new StringBuilder();
        for (String route : new TreeSet<>(results.get(0).inTime().keySet())) {
            routes.append(
                    String.format(
                            Locale.ROOT,
                            " %s %.3f (%.0f)",
                            route,
                            mean(results, r -> r.inTime().get(route)),
                            mean(results, r -> r.firstTokenP99Millis().get(route))));
        }
        System.out.printf(
                Locale.ROOT,
                "%-15s x%.1f rejected %.3f queued %.3f busiest %.2f, in time (p99 ms)%s%n",
                load.name(),
                factor,
                mean(results, PlacementRun.Result::rejectedShare),
                mean(results, PlacementRun.Result::queuedShare),
                mean(results, PlacementRun.Result::busiestToMean),
                routes);
    }

    private static double mean(
            List<PlacementRun.Result> results, ToDoubleFunction<PlacementRun.Result> figure) {
        return results.stream().mapToDouble(figure).average().orElse(0);
    }
}
