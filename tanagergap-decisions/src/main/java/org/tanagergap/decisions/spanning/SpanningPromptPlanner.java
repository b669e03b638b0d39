package org.tanagergap.decisions.spanning;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToLongFunction;
import org.tanagergap.api.request.RequestCost;

/**
 * Splits a prompt over the fewest agents whose memory suffices. It leaves each engine the share of
 * memory that is reserved for shorter work and uses that share only when the prompt does not fit
 * otherwise.
 */
public final class SpanningPromptPlanner {

    /** Maximum share of an engine's memory for long work. */
    private static final double LONG_MEMORY_SHARE = 0.6;

    public SpanningPromptPlan plan(
            RequestCost cost, Collection<SpanningPromptCandidate> candidates) {
        List<PromptSegment> segments = place(cost, candidates, SpanningPromptPlanner::withinCap);
        if (segments.isEmpty()) {
            segments = place(cost, candidates, SpanningPromptCandidate::memoryTokensFree);
        }
        if (!segments.isEmpty()) {
            return new SpanningPromptPlan.Placed(segments);
        }
        long needed = cost.memoryTokens();
        if (place(cost, candidates, SpanningPromptCandidate::memoryTokensTotal).isEmpty()) {
            return new SpanningPromptPlan.Impossible(
                    needed, sum(candidates, SpanningPromptCandidate::memoryTokensTotal));
        }
        long free = sum(candidates, SpanningPromptCandidate::memoryTokensFree);
        return new SpanningPromptPlan.Busy(Math.max(1, needed - free));
    }

    /** Returns segments on the fewest agents, or an empty list when the memory does not suffice. */
    private static List<PromptSegment> place(
            RequestCost cost,
            Collection<SpanningPromptCandidate> candidates,
            ToLongFunction<SpanningPromptCandidate> usable) {
        long output = cost.maxOutputTokens();
        List<SpanningPromptCandidate> chosen = new ArrayList<>();
        long memory = 0;
        List<SpanningPromptCandidate> largestFirst = new ArrayList<>(candidates);
        largestFirst.sort(
                Comparator.comparingLong(usable)
                        .reversed()
                        .thenComparing(SpanningPromptCandidate::agent));
        for (SpanningPromptCandidate candidate : largestFirst) {
            // Any chosen agent may become the last one, which needs memory for the output.
            if (memory < cost.memoryTokens() && usable.applyAsLong(candidate) > output) {
                chosen.add(candidate);
                memory += usable.applyAsLong(candidate);
            }
        }
        if (memory < cost.memoryTokens() || chosen.isEmpty()) {
            return List.of();
        }
        chosen.sort(Comparator.comparing(SpanningPromptCandidate::agent));
        return split(cost, chosen, usable, memory - output);
    }

    /** Splits the prompt in proportion to the memory that each agent has for it. */
    private static List<PromptSegment> split(
            RequestCost cost,
            List<SpanningPromptCandidate> chosen,
            ToLongFunction<SpanningPromptCandidate> usable,
            long room) {
        List<PromptSegment> segments = new ArrayList<>();
        long prompt = cost.promptTokens();
        long roomSoFar = 0;
        long first = 0;
        for (int i = 0; i < chosen.size(); i++) {
            SpanningPromptCandidate candidate = chosen.get(i);
            long output = i == chosen.size() - 1 ? cost.maxOutputTokens() : 0;
            roomSoFar += usable.applyAsLong(candidate) - output;
            // Rounding down the running sum keeps every segment within the memory of its agent.
            long end = Math.floorDiv(Math.multiplyExact(prompt, roomSoFar), room);
            segments.add(
                    new PromptSegment(candidate.agent(), first, end - first, end - first + output));
            first = end;
        }
        return segments;
    }

    private static long withinCap(SpanningPromptCandidate candidate) {
        long cap = (long) (LONG_MEMORY_SHARE * candidate.memoryTokensTotal());
        return Math.min(cap, candidate.memoryTokensFree());
    }

    private static long sum(
            Collection<SpanningPromptCandidate> candidates,
            ToLongFunction<SpanningPromptCandidate> memory) {
        return candidates.stream().mapToLong(memory).sum();
    }
}
