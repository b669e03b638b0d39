package org.tanagergap.decisions.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/** Plans a long prompt: on which engine, and over how many helper engines its prefill is split. */
final class LongPromptPlanner {

    private static final int[] PART_COUNTS = {1, 2, 3, 4, 6, 8, 12, 16};

    /** Cost of each helper engine that prefills a part. */
    private static final double HELPER_COST = 0.01;

    private final PlacementRequest mRequest;
    private final EngineOrder mOrder;
    private final RandomGenerator mRandom;

    /** Cost of a prefill on an engine. */
    private record Scored(EngineForecast engine, double cost, double firstMillis) {

        private boolean rateLimited() {
            return engine.candidate().rateLimited();
        }
    }

    /** Placement of the whole prompt with its impact on other streams and its total cost. */
    record Plan(Placement placement, double latencyImpact, double cost) {}

    LongPromptPlanner(PlacementRequest request, EngineOrder order, RandomGenerator random) {
        mRequest = request;
        mOrder = order;
        mRandom = random;
    }

    /** Returns the cheapest plan; empty when too few engines have room for any. */
    Optional<Plan> bestPlan() {
        // An engine that limits its requests looks idle, but is short of capacity.
        return bestPlan(engine -> !engine.candidate().rateLimited())
                .or(() -> bestPlan(engine -> true));
    }

    private Optional<Plan> bestPlan(Predicate<EngineForecast> usable) {
        Optional<Plan> best = Optional.empty();
        for (int parts : PART_COUNTS) {
            Optional<Plan> plan = plan(parts, usable);
            if (plan.isPresent() && (best.isEmpty() || plan.get().cost() < best.get().cost())) {
                best = plan;
            }
        }
        return best;
    }

    /** Plans the prompt in that many parts; empty when too few engines have memory for them. */
    private Optional<Plan> plan(int parts, Predicate<EngineForecast> usable) {
        long tokensPerHelper =
                reserves() ? (mRequest.cost().promptTokens() + parts - 1) / parts : 0;
        long primaryTokens = mRequest.cost().memoryTokens() - tokensPerHelper * (parts - 1);
        List<Scored> scored = scored(parts, tokensPerHelper, usable);
        Optional<Scored> first =
                scored.stream()
                        .filter(s -> s.engine().hasSlot() && s.engine().fits(primaryTokens))
                        .findFirst();
        if (first.isEmpty()) {
            return Optional.empty();
        }
        List<Scored> helpers =
                scored.stream()
                        .filter(s -> s != first.get() && !s.rateLimited())
                        .limit(parts - 1L)
                        .toList();
        return helpers.size() < parts - 1
                ? Optional.empty()
                : Optional.of(plan(first.get(), helpers, tokensPerHelper));
    }

    /** Returns true if the prompt exceeds every engine, so that its helpers reserve memory. */
    private boolean reserves() {
        double largest =
                mOrder.engines().stream()
                        .mapToDouble(e -> EngineForecast.plannedMemory(e.engine()))
                        .max()
                        .orElse(0);
        return mRequest.cost().memoryTokens() > largest;
    }

    private List<Scored> scored(int parts, long tokensPerHelper, Predicate<EngineForecast> usable) {
        List<Scored> scored = new ArrayList<>();
        for (int i = 0; i < mOrder.engines().size(); i++) {
            EngineForecast engine = mOrder.engines().get(i);
            if (usable.test(engine) && engine.fits(tokensPerHelper)) {
                double prefill =
                        engine.engine().prefillMillis(mRequest.cost().promptTokens()) / parts;
                // A part takes the engine for its share of the prefill only.
                double cost = engine.latencyImpact(prefill) + mOrder.costToLong(i) / parts;
                scored.add(new Scored(engine, cost, engine.firstTokenMillis(prefill)));
            }
        }
        scored.sort(Comparator.comparingDouble(Scored::cost));
        shuffleCheapest(scored);
        return scored;
    }

    /** Other instances may choose the same engines at the same time. */
    private void shuffleCheapest(List<Scored> scored) {
        double unreported = mRequest.unreportedPlacements();
        if (unreported > 0) {
            int choices = PlacementSpread.choices(scored, Scored::cost, unreported);
            Collections.shuffle(scored.subList(0, choices), new Random(mRandom.nextLong()));
        }
    }

    private Plan plan(Scored first, List<Scored> helpers, long tokensPerHelper) {
        double firstMillis =
                Math.max(
                        first.firstMillis(),
                        helpers.stream().mapToDouble(Scored::firstMillis).max().orElse(0));
        double latencyImpact = first.cost() + helpers.stream().mapToDouble(Scored::cost).sum();
        double cost =
                latencyImpact
                        + helpers.size() * HELPER_COST
                        + mRequest.loss()
                                * EngineForecast.risk(
                                        firstMillis, mRequest.firstTokenSlackMillis());
        List<String> ids = helpers.stream().map(s -> s.engine().candidate().id()).sorted().toList();
        return new Plan(
                new Placement(first.engine().candidate().id(), ids, tokensPerHelper, firstMillis),
                latencyImpact,
                cost);
    }
}
