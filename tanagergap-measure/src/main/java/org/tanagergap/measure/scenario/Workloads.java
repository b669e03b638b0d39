package org.tanagergap.measure.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.measure.fleet.FleetSettings;
import org.tanagergap.measure.workload.RequestClass;

/**
 * Request classes modelled on the two users: three work ranks, ten workspaces and prompts of 1,000
 * tokens and more.
 */
public final class Workloads {

    /** Name of the most urgent rank. */
    public static final String URGENT = "urgent";

    /** Name of the middle rank. */
    public static final String STANDARD = "standard";

    /** Name of the least urgent rank. */
    public static final String BATCH = "batch";

    /** Guaranteed floors of the ranks, as percentages of the capacity. */
    public static final int URGENT_FLOOR_PERCENT = 40;

    public static final int STANDARD_FLOOR_PERCENT = 30;

    public static final int BATCH_FLOOR_PERCENT = 10;

    private static final int WORKSPACE_COUNT = 10;

    /** Shares of the ranks in the offered tokens of the mixed load. */
    private static final double URGENT_SHARE = 0.4;

    private static final double STANDARD_SHARE = 0.35;
    private static final double BATCH_SHARE = 0.25;

    private Workloads() {}

    /**
     * Prompt tokens per second that one engine prefills at most while about 20 runs decode: a chunk
     * for each step of the step's duration.
     */
    public static double engineCapacity(FleetSettings fleet) {
        var engine = fleet.engine();
        double stepSeconds =
                engine.stepOverhead().toNanos() / 1e9
                        + 20 * engine.decodeTimePerRun().toNanos() / 1e9
                        + engine.prefillChunkTokens() / engine.prefillTokensPerSecond();
        return engine.prefillChunkTokens() / stepSeconds;
    }

    /** Prompt tokens per second that the fleet prefills at most. */
    public static double fleetCapacity(FleetSettings fleet) {
        return engineCapacity(fleet) * fleet.runners();
    }

    /** The mixed load of all ranks, as a share of the fleet's capacity. */
    public static List<RequestClass> mixed(FleetSettings fleet, double load) {
        List<RequestClass> classes = new ArrayList<>();
        classes.addAll(urgent(fleet, load * URGENT_SHARE));
        classes.addAll(standard(fleet, load * STANDARD_SHARE));
        classes.addAll(batch(fleet, load * BATCH_SHARE));
        return classes;
    }

    /** Short latency-sensitive prompts. */
    public static List<RequestClass> urgent(FleetSettings fleet, double load) {
        return spreadOverWorkspaces(fleet, load, w -> urgentClass(w, 1));
    }

    /** Medium prompts. */
    public static List<RequestClass> standard(FleetSettings fleet, double load) {
        return spreadOverWorkspaces(
                fleet,
                load,
                w ->
                        new RequestClass(
                                STANDARD,
                                new PolicyStamp(1, w, 1, STANDARD, 1, STANDARD_FLOOR_PERCENT),
                                1,
                                8_000,
                                99_000,
                                128,
                                Duration.ofSeconds(120)));
    }

    /** Long prompts with a deadline of 20 minutes. */
    public static List<RequestClass> batch(FleetSettings fleet, double load) {
        return spreadOverWorkspaces(
                fleet,
                load,
                w ->
                        new RequestClass(
                                BATCH,
                                new PolicyStamp(1, w, 1, BATCH, 2, BATCH_FLOOR_PERCENT),
                                1,
                                100_000,
                                350_000,
                                256,
                                Duration.ofMinutes(20)));
    }

    /** Returns the urgent request class of one workspace at the given share of capacity. */
    public static RequestClass urgentForWorkspace(
            FleetSettings fleet, String workspace, int weight, double load) {
        RequestClass requestClass = urgentClass(workspace, weight);
        return requestClass.withRate(requestsPerSecond(fleet, requestClass, load));
    }

    public static String workspaceName(int index) {
        return "workspace-%02d".formatted(index);
    }

    public static int workspaceCount() {
        return WORKSPACE_COUNT;
    }

    private static RequestClass urgentClass(String workspace, int weight) {
        return new RequestClass(
                URGENT,
                new PolicyStamp(1, workspace, weight, URGENT, 0, URGENT_FLOOR_PERCENT),
                1,
                1_000,
                7_900,
                64,
                Duration.ofSeconds(10));
    }

    // The first two workspaces are large: together they send half of the tokens.
    private static List<RequestClass> spreadOverWorkspaces(
            FleetSettings fleet, double load, RequestClassFactory factory) {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < WORKSPACE_COUNT; i++) {
            double share = i < 2 ? 0.25 : 0.5 / (WORKSPACE_COUNT - 2);
            RequestClass requestClass = factory.create(workspaceName(i));
            classes.add(
                    requestClass.withRate(requestsPerSecond(fleet, requestClass, load * share)));
        }
        return classes;
    }

    private static double requestsPerSecond(
            FleetSettings fleet, RequestClass requestClass, double load) {
        return load * fleetCapacity(fleet) / requestClass.meanPromptTokens();
    }

    @FunctionalInterface
    private interface RequestClassFactory {

        RequestClass create(String workspace);
    }
}
