package org.tanagergap.decisions.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Places prompts on model engines so that as little work as possible becomes late. An engine reads
 * between the tokens that it writes, so a long read stops every stream beside it: short prompts
 * gather on the engines at one end of a common order, long reads on those at the other end, and a
 * long read is spread over several engines when that shortens the pauses that it causes. Answers
 * floods of long prompts, in which a first-come placement puts a long read beside every short
 * stream.
 */
public final class LengthAwarePlacement implements PlacementPolicy {

    private static final int[] PARTS = {1, 2, 3, 4, 6, 8, 12, 16};

    /** Reads below this time are not spread, in ms of an idle engine. */
    private static final double SPREAD_FROM_MILLIS = 150;

    /** Part of an engine's memory that is planned; growth of writers takes the rest. */
    private static final double PLANNED_MEMORY = 0.95;

    /** Pauses that make delicate and other streams late, in ms. */
    private static final double DELICATE_GAP_MILLIS = 250;

    private static final double OTHER_GAP_MILLIS = 600;

    /** Loss when a stream becomes late; other streams are longer and worth more. */
    private static final double DELICATE_LOSS = 1.6;

    private static final double OTHER_LOSS = 2.5;

    /** A pause of this part of the limit begins to be a risk. */
    private static final double RISK_FROM = 0.7;

    /** Cost of one position further from the own end of the order. */
    private static final double POSITION_COST = 0.004;

    /** Cost of a full engine to a short prompt; grows with the cube of its use. */
    private static final double CROWD_COST = 0.3;

    /** Cost of each further engine that reads a part. */
    private static final double PART_COST = 0.02;

    /**
     * A long prompt with more time than it needs waits for engines where it harms nobody, in ms.
     */
    private static final double PATIENT_SLACK_MILLIS = 1_500;

    /** Harm that such a prompt may do. */
    private static final double PATIENT_HARM = 0.4;

    /** Time before the last moment at which a long prompt is placed whatever the harm, in ms. */
    private static final double LAST_WAIT_MILLIS = 1_500;

    private static final double FAR_COST_PER_MILLI = 0.002;

    /** Placements this close to the best are equal, so that instances do not herd. */
    private static final double EQUAL_COST = 0.003;

    private final RandomGenerator mRandom;

    public LengthAwarePlacement(RandomGenerator random) {
        mRandom = random;
    }

    /** Cost of putting a read on a candidate. */
    private record Scored(UpstreamCandidate candidate, double cost, double firstMillis) {}

    /** A choice for the whole prompt, with its cost to others and its whole cost. */
    private record Plan(Placement placement, double harm, double cost) {}

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
        if (prefillMillis < SPREAD_FROM_MILLIS) {
            return chooseWhole(request, prefillMillis, engines);
        }
        return chooseParts(request, prefillMillis, engines);
    }

    private Optional<Placement> chooseWhole(
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
        double limit = best.get().cost() + EQUAL_COST;
        List<Scored> equal = scored.stream().filter(s -> s.cost() <= limit).toList();
        return Optional.of(equal.get(mRandom.nextInt(equal.size())));
    }

    private Optional<Placement> chooseParts(
            PlacementRequest request, double prefillMillis, List<UpstreamCandidate> engines) {
        Optional<Plan> best = Optional.empty();
        for (int parts : PARTS) {
            Optional<Plan> plan = plan(request, prefillMillis, parts, engines);
            if (plan.isPresent() && (best.isEmpty() || plan.get().cost() < best.get().cost())) {
                best = plan;
            }
        }
        return best.filter(plan -> plan.harm() <= acceptedHarm(request, plan)).map(Plan::placement);
    }

    /**
     * Harm to others above which the prompt waits: little while it has time, no more than its own
     * loss when it is about to be late, and any when it would otherwise not be served.
     */
    private static double acceptedHarm(PlacementRequest request, Plan plan) {
        double first = plan.placement().firstTokenMillis();
        if (request.timeToDeadlineMillis() < 2 * first + LAST_WAIT_MILLIS) {
            return Double.MAX_VALUE;
        }
        double slack = request.firstTokenSlackMillis() - first;
        return slack > PATIENT_SLACK_MILLIS ? PATIENT_HARM : OTHER_LOSS;
    }

    /** Plan with the given number of parts; empty when too few engines have memory for them. */
    private Optional<Plan> plan(
            PlacementRequest request,
            double prefillMillis,
            int parts,
            List<UpstreamCandidate> engines) {
        EngineProfile engine = engines.get(0).engine().orElseThrow();
        long memory = request.cost().memoryTokens();
        boolean reserved = memory > PLANNED_MEMORY * engine.memoryTokens();
        long share = reserved ? (request.cost().promptTokens() + parts - 1) / parts : 0;
        long firstShare = memory - share * (parts - 1);
        List<Scored> scored = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            UpstreamCandidate candidate = engines.get(i);
            if (fits(share, candidate)) {
                int position = engines.size() - 1 - i;
                scored.add(scoreLong(prefillMillis / parts, position, candidate));
            }
        }
        scored.sort(Comparator.comparingDouble(Scored::cost));
        Optional<Scored> first =
                scored.stream()
                        .filter(s -> hasSlot(s.candidate()) && fits(firstShare, s.candidate()))
                        .findFirst();
        if (first.isEmpty() || scored.size() < parts) {
            return Optional.empty();
        }
        List<Scored> helpers =
                scored.stream().filter(s -> s != first.get()).limit(parts - 1L).toList();
        return Optional.of(plan(request, first.get(), helpers, share));
    }

    private static Plan plan(
            PlacementRequest request, Scored first, List<Scored> helpers, long share) {
        double firstMillis =
                Math.max(
                        first.firstMillis(),
                        helpers.stream().mapToDouble(Scored::firstMillis).max().orElse(0));
        double harm = first.cost() + helpers.stream().mapToDouble(Scored::cost).sum();
        double cost =
                harm
                        + helpers.size() * PART_COST
                        + OTHER_LOSS * risk(firstMillis, request.firstTokenSlackMillis());
        List<String> ids = helpers.stream().map(s -> s.candidate().id()).sorted().toList();
        return new Plan(new Placement(first.candidate().id(), ids, share, firstMillis), harm, cost);
    }

    private static Scored scoreShort(
            PlacementRequest request,
            double prefillMillis,
            int position,
            UpstreamCandidate candidate) {
        double first = firstTokenMillis(prefillMillis, candidate);
        double used = (double) candidate.load().running() / candidate.slots();
        double cost =
                harm(prefillMillis, candidate)
                        + DELICATE_LOSS * risk(first, request.firstTokenSlackMillis())
                        + CROWD_COST * used * used * used
                        + POSITION_COST * position
                        + FAR_COST_PER_MILLI * candidate.delayMillis();
        return new Scored(candidate, cost, first);
    }

    private static Scored scoreLong(
            double prefillMillis, int position, UpstreamCandidate candidate) {
        double cost = harm(prefillMillis, candidate) + POSITION_COST * position;
        return new Scored(candidate, cost, firstTokenMillis(prefillMillis, candidate));
    }

    /** Expected loss of the streams that run at the candidate. */
    private static double harm(double prefillMillis, UpstreamCandidate candidate) {
        UpstreamLoad load = candidate.load();
        double pause = iterationMillis(candidate) + load.prefillMillis() + prefillMillis;
        double slowPause = pause * candidate.slowness();
        int others = load.running() - load.latencySensitive();
        return load.latencySensitive() * DELICATE_LOSS * risk(slowPause, DELICATE_GAP_MILLIS)
                + others * OTHER_LOSS * risk(slowPause, OTHER_GAP_MILLIS);
    }

    /** Risk that something of the given duration exceeds its limit, from 0 to 1. */
    private static double risk(double millis, double limitMillis) {
        if (limitMillis <= 0) {
            return 1;
        }
        double from = RISK_FROM * limitMillis;
        double part = Math.max(0, Math.min(1, (millis - from) / (limitMillis - from)));
        return part * part;
    }

    private static boolean hasSlot(UpstreamCandidate candidate) {
        return candidate.load().running() < candidate.slots();
    }

    private static boolean fits(long tokens, UpstreamCandidate candidate) {
        double memory = PLANNED_MEMORY * candidate.engine().orElseThrow().memoryTokens();
        return candidate.load().memoryTokens() + tokens <= memory;
    }

    /** Duration of a pass of the writers that the candidate has. */
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
     * Predicted time to the first token: half of the pass under way, the reads ahead, the own read
     * and the first own pass.
     */
    private static double firstTokenMillis(double prefillMillis, UpstreamCandidate candidate) {
        UpstreamLoad load = candidate.load();
        double pass = iterationMillis(candidate);
        double ownPass = candidate.engine().orElseThrow().iterationMillis(1, 0);
        double engineMillis =
                pass / 2 + load.prefillMillis() + prefillMillis + Math.max(pass, ownPass);
        return engineMillis * candidate.slowness() + 2 * candidate.delayMillis();
    }
}
