package org.tanagergap.decisions.span;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.tanagergap.api.request.RequestCost;

/**
 * Splits a prompt over as few agents as can hold it. It leaves each engine the share of memory that
 * is kept for shorter work and uses that share only when the prompt fits no other way.
 */
public final class SpanPlanner {

    /** Cap on the memory of long work per engine. */
    private static final double LONG_MEMORY_SHARE = 0.6;

    /** Plans the prompt over the candidates. */
    public SpanPlan plan(RequestCost cost, Collection<SpanCandidate> candidates) {
        List<SpanSegment> segments = place(cost, candidates, SpanPlanner::withinCap);
        if (segments.isEmpty()) {
            segments = place(cost, candidates, SpanCandidate::memoryTokensFree);
        }
        if (!segments.isEmpty()) {
            return new SpanPlan.Placed(segments);
        }
        long needed = cost.memoryTokens();
        if (place(cost, candidates, SpanCandidate::memoryTokensTotal).isEmpty()) {
            return new SpanPlan.Impossible(
                    needed, sum(candidates, SpanCandidate::memoryTokensTotal));
        }
        long free = sum(candidates, SpanCandidate::memoryTokensFree);
        return new SpanPlan.Busy(Math.max(1, needed - free));
    }

    /** Segments on the fewest agents, or an empty list when the memory does not suffice. */
    private static List<SpanSegment> place(
            RequestCost cost,
            Collection<SpanCandidate> candidates,
            ToLongFunction<SpanCandidate> usable) {
        long output = cost.maxOutputTokens();
        List<SpanCandidate> chosen = new ArrayList<>();
        long memory = 0;
        List<SpanCandidate> largestFirst = new ArrayList<>(candidates);
        largestFirst.sort(
                Comparator.comparingLong(usable).reversed().thenComparing(SpanCandidate::agent));
        for (SpanCandidate candidate : largestFirst) {
            // Any chosen agent may become the last one, which needs room for the output.
            if (memory < cost.memoryTokens() && usable.applyAsLong(candidate) > output) {
                chosen.add(candidate);
                memory += usable.applyAsLong(candidate);
            }
        }
        if (memory < cost.memoryTokens() || chosen.isEmpty()) {
            return List.of();
        }
        chosen.sort(Comparator.comparing(SpanCandidate::agent));
        return split(cost, chosen, usable, memory - output);
    }

    /** Splits the prompt in proportion to the room that each agent has for it. */
    private static List<SpanSegment> split(
            RequestCost cost,
            List<SpanCandidate> chosen,
            ToLongFunction<SpanCandidate> usable,
            long room) {
        List<SpanSegment> segments = new ArrayList<>();
        long prompt = cost.promptTokens();
        long roomSoFar = 0;
        long first = 0;
        for (int i = 0; i < chosen.size(); i++) {
            SpanCandidate candidate = chosen.get(i);
            long output = i == chosen.size() - 1 ? cost.maxOutputTokens() : 0;
            roomSoFar += usable.applyAsLong(candidate) - output;
            // Rounding down the running sum keeps every segment within its agent's room.
            long end = Math.floorDiv(Math.multiplyExact(prompt, roomSoFar), room);
            segments.add(
                    new SpanSegment(candidate.agent(), first, end - first, end - first + output));
            first = end;
        }
        return segments;
    }

    private static long withinCap(SpanCandidate candidate) {
        long cap = (long) (LONG_MEMORY_SHARE * candidate.memoryTokensTotal());
        return Math.min(cap, candidate.memoryTokensFree());
    }

    private static long sum(
            Collection<SpanCandidate> candidates, ToLongFunction<SpanCandidate> memory) {
        return candidates.stream().mapToLong(memory).sum();
    }
}
