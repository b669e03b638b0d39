package org.tanagergap.decisions.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Places prompts on model engines so that as few requests as possible miss their targets. An engine
 * prefills between decode iterations, so a long prefill stalls every stream on it: short prompts
 * are concentrated on the engines at one end of a common order and long prefills on those at the
 * other end, and a long prefill is split over several engines when that shortens the stalls. Under
 * an overload of long prompts, a first-come placement would put a long prefill next to every short
 * stream.
 */
public final class LengthAwarePlacement implements PlacementPolicy {

    /**
     * A prompt is long if its prefill takes more than this share of the shortest inter-token target
     * of the streams that it could stall.
     */
    private static final double LONG_PREFILL_SHARE = 0.6;

    /**
     * A long prompt with more slack than this waits for engines where it delays no other stream, in
     * ms.
     */
    private static final double DEFERRABLE_SLACK_MILLIS = 1_500;

    /** Impact on other streams that such a prompt may have. */
    private static final double MAX_DEFERRABLE_IMPACT = 0.4;

    /**
     * A long prompt is placed whatever its impact when twice its time to the first token plus this
     * time reaches the deadline, in ms.
     */
    private static final double FORCED_PLACEMENT_MILLIS = 1_500;

    private final RandomGenerator mRandom;
    private final InstancePreference mPreference;

    public LengthAwarePlacement(RandomGenerator random) {
        mRandom = random;
        mPreference = new InstancePreference(random.nextLong());
    }

    /** Engine with the cost of its place in the order of the engines. */
    private record Preferred(EngineForecast engine, double cost) {}

    @Override
    public Optional<Placement> choose(
            PlacementRequest request, List<UpstreamCandidate> candidates) {
        EngineOrder order = new EngineOrder(candidates);
        if (order.engines().isEmpty()) {
            return Optional.empty();
        }
        if (!isLong(request, order.engines())) {
            return chooseOneEngine(request, order);
        }
        return new LongPromptPlanner(request, order, mRandom)
                .bestPlan()
                .filter(plan -> plan.latencyImpact() <= acceptedImpact(request, plan))
                .map(LongPromptPlanner.Plan::placement);
    }

    private static boolean isLong(PlacementRequest request, List<EngineForecast> engines) {
        double shortestTarget = request.interTokenTargetMillis();
        for (EngineForecast engine : engines) {
            StreamTargets targets = engine.candidate().load().targets();
            if (!targets.lossByTargetMillis().isEmpty()) {
                shortestTarget = Math.min(shortestTarget, targets.lossByTargetMillis().firstKey());
            }
        }
        double prefill =
                engines.stream()
                        .mapToDouble(e -> e.engine().prefillMillis(request.cost().promptTokens()))
                        .min()
                        .orElse(0);
        return prefill >= LONG_PREFILL_SHARE * shortestTarget;
    }

    private Optional<Placement> chooseOneEngine(PlacementRequest request, EngineOrder order) {
        double unreported = request.unreportedPlacements();
        List<Preferred> usable = new ArrayList<>();
        for (int i = 0; i < order.engines().size(); i++) {
            EngineForecast engine = order.engines().get(i);
            if (engine.hasSlot() && engine.fits(request.cost().memoryTokens())) {
                // Without placements by others, the load is known and needs no preference.
                double preference = unreported > 0 ? mPreference.cost(engine.candidate().id()) : 0;
                usable.add(new Preferred(engine, order.costToShort(i) + preference));
            }
        }
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        List<Preferred> drawn = inTimeIfAny(usable, request);
        ShortPromptCost cost = new ShortPromptCost(request);
        int chosen =
                ExpectedPlacements.draw(
                        drawn.size(),
                        unreported,
                        (i, others) ->
                                cost.cost(drawn.get(i).engine(), drawn.get(i).cost(), others),
                        mRandom);
        EngineForecast engine = drawn.get(chosen).engine();
        return Optional.of(
                new Placement(
                        engine.candidate().id(), List.of(), 0, firstTokenMillis(engine, request)));
    }

    /**
     * Leaves out engines whose first token would come after the caller has given up. In a flood the
     * others cost more, and prompts would be drawn to such engines in vain.
     */
    private static List<Preferred> inTimeIfAny(List<Preferred> usable, PlacementRequest request) {
        List<Preferred> inTime =
                usable.stream()
                        .filter(
                                preferred ->
                                        firstTokenMillis(preferred.engine(), request)
                                                <= request.timeToDeadlineMillis())
                        .toList();
        return inTime.isEmpty() ? usable : inTime;
    }

    private static double firstTokenMillis(EngineForecast engine, PlacementRequest request) {
        long tokens = request.cost().promptTokens();
        return engine.firstTokenMillis(engine.engine().prefillMillis(tokens));
    }

    /**
     * Returns the impact above which the prompt waits: low while it has slack, its own loss when it
     * is about to miss its target, and unlimited when it would otherwise not be served.
     */
    private static double acceptedImpact(PlacementRequest request, LongPromptPlanner.Plan plan) {
        double first = plan.placement().firstTokenMillis();
        if (request.timeToDeadlineMillis() < 2 * first + FORCED_PLACEMENT_MILLIS) {
            return Double.MAX_VALUE;
        }
        double slack = request.firstTokenSlackMillis() - first;
        return slack > DEFERRABLE_SLACK_MILLIS ? MAX_DEFERRABLE_IMPACT : request.loss();
    }
}
