package org.tanagergap.measure.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.workload.RequestClass;

/** Work of the two users: three ranks, ten workspaces, prompts of 1,000 tokens and more. */
public final class Workloads {

    /** Name of the most urgent rank. */
    public static final String URGENT = "urgent";

    /** Name of the middle rank. */
    public static final String STANDARD = "standard";

    /** Name of the least urgent rank. */
    public static final String BATCH = "batch";

    /** Floors of the ranks, in percent. */
    public static final int URGENT_FLOOR = 40;

    public static final int STANDARD_FLOOR = 30;

    public static final int BATCH_FLOOR = 10;

    private static final int WORKSPACES = 10;

    /** Share of the offered work that each rank has in the steady load. */
    private static final double URGENT_PART = 0.4;

    private static final double STANDARD_PART = 0.35;
    private static final double BATCH_PART = 0.25;

    private Workloads() {}

    /**
     * Prompt tokens per second that one engine prefills at most while about 20 runs decode: a chunk
     * for each step of the step's duration.
     */
    public static double engineCapacity(FleetSettings fleet) {
        var engine = fleet.engine();
        double step =
                engine.stepOverhead().toNanos() / 1e9
                        + 20 * engine.decodeTimePerRun().toNanos() / 1e9
                        + engine.prefillChunkTokens() / engine.prefillTokensPerSecond();
        return engine.prefillChunkTokens() / step;
    }

    /** Prompt tokens per second that the fleet prefills at most. */
    public static double fleetCapacity(FleetSettings fleet) {
        return engineCapacity(fleet) * fleet.runners();
    }

    /** The mixed load of all ranks, as a share of the fleet's capacity. */
    public static List<RequestClass> mixed(FleetSettings fleet, double load) {
        List<RequestClass> classes = new ArrayList<>();
        classes.addAll(urgent(fleet, load * URGENT_PART));
        classes.addAll(standard(fleet, load * STANDARD_PART));
        classes.addAll(batch(fleet, load * BATCH_PART));
        return classes;
    }

    /** Short prompts that need an answer at once. */
    public static List<RequestClass> urgent(FleetSettings fleet, double load) {
        return spread(fleet, load, w -> urgentClass(w, 1));
    }

    /** Medium prompts. */
    public static List<RequestClass> standard(FleetSettings fleet, double load) {
        return spread(
                fleet,
                load,
                w ->
                        new RequestClass(
                                STANDARD,
                                new PolicyStamp(1, w, 1, STANDARD, 1, STANDARD_FLOOR),
                                1,
                                8_000,
                                99_000,
                                128,
                                Duration.ofSeconds(120)));
    }

    /** Long prompts that may wait. */
    public static List<RequestClass> batch(FleetSettings fleet, double load) {
        return spread(
                fleet,
                load,
                w ->
                        new RequestClass(
                                BATCH,
                                new PolicyStamp(1, w, 1, BATCH, 2, BATCH_FLOOR),
                                1,
                                100_000,
                                350_000,
                                256,
                                Duration.ofMinutes(20)));
    }

    /** Short urgent prompts of one workspace. */
    public static RequestClass urgentOf(
            FleetSettings fleet, String workspace, int weight, double load) {
        RequestClass requestClass = urgentClass(workspace, weight);
        return requestClass.withRate(rate(fleet, requestClass, load));
    }

    /** Name of a workspace. */
    public static String workspace(int index) {
        return "workspace-%02d".formatted(index);
    }

    /** Number of workspaces. */
    public static int workspaces() {
        return WORKSPACES;
    }

    private static RequestClass urgentClass(String workspace, int weight) {
        return new RequestClass(
                URGENT,
                new PolicyStamp(1, workspace, weight, URGENT, 0, URGENT_FLOOR),
                1,
                1_000,
                7_900,
                64,
                Duration.ofSeconds(10));
    }

    // The first two workspaces are large: together they send half of the work.
    private static List<RequestClass> spread(
            FleetSettings fleet, double load, ClassOfWorkspace factory) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < WORKSPACES; i++) {
            double part = i < 2 ? 0.25 : 0.5 / (WORKSPACES - 2);
            RequestClass requestClass = factory.create(workspace(i));
            classes.add(requestClass.withRate(rate(fleet, requestClass, load * part)));
        }
        return classes;
    }

    private static double rate(FleetSettings fleet, RequestClass requestClass, double load) {
        return load * fleetCapacity(fleet) / requestClass.meanPromptTokens();
    }

    @FunctionalInterface
    private interface ClassOfWorkspace {

        RequestClass create(String workspace);
    }
}
