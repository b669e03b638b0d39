package org.tanagergap.decisions.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tanagergap.api.request.RequestCost;

/**
 * Keeps short prompts away from upstreams that read long ones, and long reads together on as few
 * upstreams as finish them in time. Answers floods of long prompts, in which a first-come placement
 * puts a long read beside every short prompt.
 */
public final class LengthAwarePlacement implements PlacementPolicy {

    /** Reads from this length on are kept apart from short prompts, in ms of an idle engine. */
    public static final double LONG_READ_MILLIS = 150;

    /** A long read is spread over so many engines that each reads for about this long, in ms. */
    private static final double READ_MILLIS_PER_ENGINE = 2_500;

    private static final int MAX_HELPERS = 15;

    /** Part of an engine's memory that is planned; growth of writers takes the rest. */
    private static final double PLANNED_MEMORY = 0.95;

    /** Cost to a short prompt of a long read beside it, in ms. */
    private static final double LONG_READ_PENALTY_MILLIS = 120;

    /** Cost to the writers of an upstream of a long read put beside them, in ms a writer. */
    private static final double WRITER_PENALTY_MILLIS = 60;

    /** Preference of long reads for upstreams early in the order, in ms a position. */
    private static final double ORDER_MILLIS = 12;

    /** Candidates this close to the best are equal, so that instances do not herd, in ms. */
    private static final double EQUAL_MILLIS = 4;

    private final RandomGenerator mRandom;

    public LengthAwarePlacement(RandomGenerator random) {
        mRandom = random;
    }

    private record Scored(UpstreamCandidate candidate, double score, double firstTokenMillis) {}

    @Override
    public Optional<Placement> choose(RequestCost cost, List<UpstreamCandidate> candidates) {
        List<UpstreamCandidate> engines =
                candidates.stream()
                        .filter(c -> c.engine().isPresent())
                        .filter(c -> c.load().running() < c.slots())
                        .sorted(Comparator.comparingInt(c -> c.id().hashCode()))
                        .toList();
        if (engines.isEmpty()) {
            return Optional.empty();
        }
        EngineProfile engine = engines.get(0).engine().orElseThrow();
        double readMillis = engine.readMillis(cost.promptTokens());
        if (readMillis < LONG_READ_MILLIS) {
            return chooseShort(cost, readMillis, engines);
        }
        int parts = parts(cost, readMillis, engine);
        return parts == 1
                ? chooseLong(cost, readMillis, engines)
                : chooseSpread(cost, readMillis, parts, engines);
    }

    private Optional<Placement> chooseShort(
            RequestCost cost, double readMillis, List<UpstreamCandidate> engines) {
        List<Scored> scored = new ArrayList<>();
        for (UpstreamCandidate candidate : engines) {
            if (!fits(cost.memoryTokens(), candidate)) {
                continue;
            }
            double first = firstTokenMillis(readMillis, candidate);
            double score =
                    first
                            + candidate.load().longReads() * LONG_READ_PENALTY_MILLIS
                            + candidate.load().writing() * 2;
            scored.add(new Scored(candidate, score, first));
        }
        return best(scored).map(s -> whole(s));
    }

    private Optional<Placement> chooseLong(
            RequestCost cost, double readMillis, List<UpstreamCandidate> engines) {
        List<Scored> scored = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            UpstreamCandidate candidate = engines.get(i);
            if (fits(cost.memoryTokens(), candidate)) {
                scored.add(scoreLong(readMillis, i, candidate));
            }
        }
        return best(scored).map(s -> whole(s));
    }

    /** Spreads a prompt over the upstreams that suit long reads best; none when too few fit. */
    private Optional<Placement> chooseSpread(
            RequestCost cost, double readMillis, int parts, List<UpstreamCandidate> engines) {
        EngineProfile engine = engines.get(0).engine().orElseThrow();
        boolean reserved = cost.memoryTokens() > PLANNED_MEMORY * engine.memoryTokens();
        long share = reserved ? (cost.promptTokens() + parts - 1) / parts : 0;
        long firstTokens = cost.memoryTokens() - share * (parts - 1);
        List<Scored> scored = new ArrayList<>();
        for (int i = 0; i < engines.size(); i++) {
            UpstreamCandidate candidate = engines.get(i);
            if (fits(Math.max(share, 1), candidate)) {
                scored.add(scoreLong(readMillis / parts, i, candidate));
            }
        }
        scored.sort(Comparator.comparingDouble(Scored::score));
        Optional<Scored> first =
                scored.stream().filter(s -> fits(firstTokens, s.candidate())).findFirst();
        if (first.isEmpty() || scored.size() < parts) {
            return Optional.empty();
        }
        List<String> helpers =
                scored.stream()
                        .filter(s -> s != first.get())
                        .limit(parts - 1L)
                        .map(s -> s.candidate().id())
                        .sorted()
                        .toList();
        return Optional.of(
                new Placement(
                        first.get().candidate().id(),
                        helpers,
                        share,
                        first.get().firstTokenMillis()));
    }

    private static Scored scoreLong(double readMillis, int position, UpstreamCandidate candidate) {
        double first = firstTokenMillis(readMillis, candidate);
        double score =
                first
                        + candidate.load().writing() * WRITER_PENALTY_MILLIS
                        + position * ORDER_MILLIS;
        return new Scored(candidate, score, first);
    }

    private Optional<Scored> best(List<Scored> scored) {
        Optional<Scored> best = scored.stream().min(Comparator.comparingDouble(Scored::score));
        if (best.isEmpty()) {
            return best;
        }
        List<Scored> equal =
                scored.stream()
                        .filter(s -> s.score() <= best.get().score() + EQUAL_MILLIS)
                        .toList();
        return Optional.of(equal.get(mRandom.nextInt(equal.size())));
    }

    private static Placement whole(Scored scored) {
        return new Placement(scored.candidate().id(), List.of(), 0, scored.firstTokenMillis());
    }

    private static int parts(RequestCost cost, double readMillis, EngineProfile engine) {
        double memory = PLANNED_MEMORY * engine.memoryTokens();
        int byMemory = (int) Math.ceil(cost.memoryTokens() / memory);
        int byTime = (int) Math.ceil(readMillis / READ_MILLIS_PER_ENGINE);
        return Math.min(1 + MAX_HELPERS, Math.max(1, Math.max(byMemory, byTime)));
    }

    private static boolean fits(long tokens, UpstreamCandidate candidate) {
        double memory = PLANNED_MEMORY * candidate.engine().orElseThrow().memoryTokens();
        return candidate.load().memoryTokens() + tokens <= memory;
    }

    /** Predicted time to the first token: half a pass, the reads ahead and the own read. */
    private static double firstTokenMillis(double readMillis, UpstreamCandidate candidate) {
        UpstreamLoad load = candidate.load();
        EngineProfile engine = candidate.engine().orElseThrow();
        double pass =
                load.writing() == 0 ? 0 : engine.passMillis(load.writing(), load.memoryTokens());
        double engineMillis = pass / 2 + load.readMillis() + readMillis;
        return engineMillis * candidate.slowness() + 2 * candidate.delayMillis();
    }
}
