package org.tanagergap.decisions.spanning;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.request.RequestCost;

class SpanningPromptPlannerTests {

    private final SpanningPromptPlanner mPlanner = new SpanningPromptPlanner();

    private static List<SpanningPromptCandidate> engines(int count, long free) {
        List<SpanningPromptCandidate> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(new SpanningPromptCandidate("a" + i, 500_000, free));
        }
        return engines;
    }

    /**
     * Guards against a plan that takes the memory for short work of some engines while others are
     * idle.
     */
    @Test
    void aPromptOfTwiceTheEngineMemoryLeavesTheShareOfShortWork() {
        SpanningPromptPlan plan =
                mPlanner.plan(new RequestCost(1_000_000, 1_000), engines(6, 500_000));
        List<PromptSegment> segments = ((SpanningPromptPlan.Placed) plan).segments();
        assertThat(segments).hasSize(4);
        segments.forEach(segment -> assertThat(segment.memoryTokens()).isAtMost(300_000));
    }

    /** Guards against refusing a prompt that the memory of all engines could hold. */
    @Test
    void theWholeMemoryIsUsedWhenTheShareDoesNotSuffice() {
        SpanningPromptPlan plan =
                mPlanner.plan(new RequestCost(1_000_000, 1_000), engines(3, 500_000));
        assertThat(((SpanningPromptPlan.Placed) plan).segments()).hasSize(3);
    }

    /** Guards against a final refusal while the memory is only occupied by other work. */
    @Test
    void aPromptThatFitsOnceMemoryIsFreeIsNotRefused() {
        RequestCost cost = new RequestCost(1_000_000, 1_000);
        assertThat(mPlanner.plan(cost, engines(3, 200_000)))
                .isInstanceOf(SpanningPromptPlan.Busy.class);
        assertThat(mPlanner.plan(cost, engines(2, 500_000)))
                .isEqualTo(new SpanningPromptPlan.Impossible(1_001_000, 1_000_000));
    }

    /** Guards against missing, repeated or overcommitted segments of a prompt. */
    @Property(seed = "20261204", tries = 1_000)
    void segmentsCoverThePromptInAscendingOrderWithinFreeMemory(
            @ForAll @LongRange(min = 1, max = 2_000_000) long prompt,
            @ForAll @LongRange(max = 5_000) long output,
            @ForAll @Size(min = 1, max = 12) List<@IntRange(max = 600_000) Integer> free) {
        List<SpanningPromptCandidate> candidates = new ArrayList<>();
        Map<String, Long> room = new HashMap<>();
        for (int i = 0; i < free.size(); i++) {
            String name = "a" + (char) ('a' + (i * 5) % 13);
            candidates.add(new SpanningPromptCandidate(name, 600_000, free.get(i)));
            room.put(name, (long) free.get(i));
        }
        SpanningPromptPlan plan = mPlanner.plan(new RequestCost(prompt, output), candidates);
        long usable = free.stream().mapToLong(f -> f > output ? f : 0).sum();
        assertThat(plan instanceof SpanningPromptPlan.Placed).isEqualTo(usable >= prompt + output);
        if (!(plan instanceof SpanningPromptPlan.Placed placed)) {
            return;
        }
        long next = 0;
        String previous = "";
        for (PromptSegment segment : placed.segments()) {
            assertThat(segment.firstToken()).isEqualTo(next);
            assertThat(segment.agent()).isGreaterThan(previous);
            assertThat(segment.memoryTokens()).isAtMost(room.get(segment.agent()));
            next += segment.promptTokens();
            previous = segment.agent();
        }
        assertThat(next).isEqualTo(prompt);
    }
}
