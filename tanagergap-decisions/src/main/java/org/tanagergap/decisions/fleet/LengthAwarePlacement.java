package org.tanagergap.decisions.fleet;

import java.util.ArrayList;
import java.util.Comparator;
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

    private static final int[] PART_COUNTS = {1, 2, 3, 4, 6, 8, 12, 16};

    /** Prompts with a shorter prefill are not split, in ms on an idle engine. */
    private static final double MIN_SPLIT_PREFILL_MILLIS = 150;

    /**
     * Share of an engine's memory that placements may use; decoding requests grow into the rest.
     */
    private static final double PLANNED_MEMORY_SHARE = 0.95;

    /** Inter-token gaps that make latency-sensitive and other streams miss their targets, in ms. */
    private static final double LATENCY_SENSITIVE_GAP_MILLIS = 250;

    private static final double OTHER_GAP_MILLIS = 600;

    /** Loss when a stream misses its target; other streams are longer and worth more. */
    private static final double LATENCY_SENSITIVE_LOSS = 1.6;

    private static final double OTHER_LOSS = 2.5;

    /** Share of a limit from which on the risk of exceeding it rises above zero. */
    private static final double RISK_START_SHARE = 0.7;

    /** Cost of one position further from the preferred end of the order of engines. */
    private static final double POSITION_COST = 0.004;

    /** Cost of a full engine to a short prompt; grows with the cube of its utilization. */
    private static final double UTILIZATION_COST = 0.3;

    /** Cost of each helper engine that prefills a part. */
    private static final double HELPER_COST = 0.02;

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

    private static final double DELAY_COST_PER_MILLI = 0.002;

    /**
     * Costs this close to the lowest count as equal, and one is chosen at random, so that instances
     * do not all choose the same upstream.
     */
    private static final double COST_TOLERANCE = 0.003;

    private final RandomGenerator mRandom;

    public LengthAwarePlacement(RandomGenerator random) {
        mRandom = random;
    }

    /** Cost of a prefill on a candidate. */
    private record Scored(UpstreamCandidate candidate, double cost, double firstMillis) {}

    /** Placement of the whole prompt with its impact on other streams and its total cost. */
    private record Plan(Placement placement, double latencyImpact, double cost) {}

    @Override
    public Optional<Placement> choose(
            PlacementRequest request, List<UpstreamCandidate> candidates) {
        List<UpstreamCandidate> engines =
                candidates.stream()
                        .filter(c -> c.engine().isPresent())
                        .sorted(Comparator.comparingInt(c -> c.id().hashCode()))
                        .toList();
        if (engines.isEmpty()) {
            return Optional.empty();
        }
        EngineProfile engine = engines.get(0).engine().orElseThrow();
        double prefillMillis = engine.prefillMillis(request.cost().promptTokens());
        if (prefillMillis < MIN_SPLIT_PREFILL_MILLIS) {
            return chooseOneEngine(request, prefillMillis, engines);
        }
        // An engine that limits its requests looks idle, but is short of capacity.
        List<UpstreamCandidate> unlimited = engines.stream().filter(c -> !c.rateLimited()).toList();
        Optional<Plan> plan = bestPlan(request, prefillMillis, unlimited);
        if (plan.isEmpty() && unlimited.size() < engines.size()) {
            plan = bestPlan(request, prefillMillis, engines);
        }
        return plan.filter(p -> p.latencyImpact() <= acceptedImpact(request, p))
                .map(Plan::placement);
    }

    private Optional<Placement> chooseOneEngine(
            PlacementRequest request, double prefillMillis, List<UpstreamCandidate> engines) {
        List<Scored> scored = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            UpstreamCandidate candidate = engines.get(i);
            if (hasSlot(candidate) && fits(request.cost().memoryTokens(), candidate)) {
                scored.add(scoreShort(request, prefillMillis, i, candidate));
            }
        }
        return best(scored)
                .map(s -> new Placement(s.candidate().id(), List.of(), 0, s.firstMillis()));
    }

    private Optional<Scored> best(List<Scored> scored) {
        Optional<Scored> best = scored.stream().min(Comparator.comparingDouble(Scored::cost));
        if (best.isEmpty()) {
            return best;
        }
        double limit = best.get().cost() + COST_TOLERANCE;
        List<Scored> equal = scored.stream().filter(s -> s.cost() <= limit).toList();
        return Optional.of(equal.get(mRandom.nextInt(equal.size())));
    }

    private static Optional<Plan> bestPlan(
            PlacementRequest request, double prefillMillis, List<UpstreamCandidate> engines) {
        Optional<Plan> best = Optional.empty();
        for (int parts : PART_COUNTS) {
            Optional<Plan> plan = plan(request, prefillMillis, parts, engines);
            if (plan.isPresent() && (best.isEmpty() || plan.get().cost() < best.get().cost())) {
                best = plan;
            }
        }
        return best;
    }

    /**
     * Returns the impact above which the prompt waits: low while it has slack, its own loss when it
     * is about to miss its target, and unlimited when it would otherwise not be served.
     */
    private static double acceptedImpact(PlacementRequest request, Plan plan) {
        double first = plan.placement().firstTokenMillis();
        if (request.timeToDeadlineMillis() < 2 * first + FORCED_PLACEMENT_MILLIS) {
            return Double.MAX_VALUE;
        }
        double slack = request.firstTokenSlackMillis() - first;
        return slack > DEFERRABLE_SLACK_MILLIS ? MAX_DEFERRABLE_IMPACT : OTHER_LOSS;
    }

    /**
     * Plans the prompt in the given number of parts; empty when too few engines have memory for
     * them.
     */
    private static Optional<Plan> plan(
            PlacementRequest request,
            double prefillMillis,
            int parts,
            List<UpstreamCandidate> engines) {
        if (engines.isEmpty()) {
            return Optional.empty();
        }
        EngineProfile engine = engines.get(0).engine().orElseThrow();
        long memory = request.cost().memoryTokens();
        boolean reserved = memory > PLANNED_MEMORY_SHARE * engine.memoryTokens();
        long tokensPerHelper = reserved ? (request.cost().promptTokens() + parts - 1) / parts : 0;
        long primaryTokens = memory - tokensPerHelper * (parts - 1);
        List<Scored> scored = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            UpstreamCandidate candidate = engines.get(i);
            if (fits(tokensPerHelper, candidate)) {
                int position = engines.size() - 1 - i;
                scored.add(scoreLong(prefillMillis / parts, position, candidate));
            }
        }
        scored.sort(Comparator.comparingDouble(Scored::cost));
        Optional<Scored> first =
                scored.stream()
                        .filter(s -> hasSlot(s.candidate()) && fits(primaryTokens, s.candidate()))
                        .findFirst();
        if (first.isEmpty()) {
            return Optional.empty();
        }
        List<Scored> helpers =
                scored.stream()
                        .filter(s -> s != first.get() && !s.candidate().rateLimited())
                        .limit(parts - 1L)
                        .toList();
        if (helpers.size() < parts - 1) {
            return Optional.empty();
        }
        return Optional.of(plan(request, first.get(), helpers, tokensPerHelper));
    }

    private static Plan plan(
            PlacementRequest request, Scored first, List<Scored> helpers, long tokensPerHelper) {
        double firstMillis =
                Math.max(
                        first.firstMillis(),
                        helpers.stream().mapToDouble(Scored::firstMillis).max().orElse(0));
        double latencyImpact = first.cost() + helpers.stream().mapToDouble(Scored::cost).sum();
        double cost =
                latencyImpact
                        + helpers.size() * HELPER_COST
                        + OTHER_LOSS * risk(firstMillis, request.firstTokenSlackMillis());
        List<String> ids = helpers.stream().map(s -> s.candidate().id()).sorted().toList();
        return new Plan(
                new Placement(first.candidate().id(), ids, tokensPerHelper, firstMillis),
                latencyImpact,
                cost);
    }

    private static Scored scoreShort(
            PlacementRequest request,
            double prefillMillis,
            int position,
            UpstreamCandidate candidate) {
        double first = firstTokenMillis(prefillMillis, candidate);
        double used = (double) candidate.load().running() / candidate.slots();
        double cost =
                latencyImpact(prefillMillis, candidate)
                        + LATENCY_SENSITIVE_LOSS * risk(first, request.firstTokenSlackMillis())
                        + UTILIZATION_COST * used * used * used
                        + POSITION_COST * position
                        + DELAY_COST_PER_MILLI * candidate.delayMillis();
        return new Scored(candidate, cost, first);
    }

    private static Scored scoreLong(
            double prefillMillis, int position, UpstreamCandidate candidate) {
        double cost = latencyImpact(prefillMillis, candidate) + POSITION_COST * position;
        return new Scored(candidate, cost, firstTokenMillis(prefillMillis, candidate));
    }

    /** Returns the expected loss of the streams that run at the candidate. */
    private static double latencyImpact(double prefillMillis, UpstreamCandidate candidate) {
        UpstreamLoad load = candidate.load();
        double gap = iterationMillis(candidate) + load.prefillMillis() + prefillMillis;
        double expectedGap = gap * candidate.slowness();
        int others = load.running() - load.latencySensitive();
        return load.latencySensitive()
                        * LATENCY_SENSITIVE_LOSS
                        * risk(expectedGap, LATENCY_SENSITIVE_GAP_MILLIS)
                + others * OTHER_LOSS * risk(expectedGap, OTHER_GAP_MILLIS);
    }

    /** Returns the risk that a duration exceeds its limit, from 0 to 1. */
    private static double risk(double millis, double limitMillis) {
        if (limitMillis <= 0) {
            return 1;
        }
        double from = RISK_START_SHARE * limitMillis;
        double part = Math.max(0, Math.min(1, (millis - from) / (limitMillis - from)));
        return part * part;
    }

    private static boolean hasSlot(UpstreamCandidate candidate) {
        return candidate.load().running() < candidate.slots();
    }

    private static boolean fits(long tokens, UpstreamCandidate candidate) {
        double memory = PLANNED_MEMORY_SHARE * candidate.engine().orElseThrow().memoryTokens();
        return candidate.load().memoryTokens() + tokens <= memory;
    }

    /** Returns the duration of an iteration with the requests that run at the candidate. */
    private static double iterationMillis(UpstreamCandidate candidate) {
        UpstreamLoad load = candidate.load();
        return load.running() == 0
                ? 0
                : candidate
                        .engine()
                        .orElseThrow()
                        .iterationMillis(load.running(), load.memoryTokens());
    }

    /**
     * Predicts the time to the first token: half of the current iteration, the queued prefills,
     * this prefill and the first iteration that decodes the request.
     */
    private static double firstTokenMillis(double prefillMillis, UpstreamCandidate candidate) {
        UpstreamLoad load = candidate.load();
        double iteration = iterationMillis(candidate);
        double ownIteration = candidate.engine().orElseThrow().iterationMillis(1, 0);
        double engineMillis =
                iteration / 2
                        + load.prefillMillis()
                        + prefillMillis
                        + Math.max(iteration, ownIteration);
        return engineMillis * candidate.slowness() + 2 * candidate.delayMillis();
    }
}
