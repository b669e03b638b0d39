package org.tanagergap.decisions.spanning;

import java.util.List;

/** Plan of a prompt that spans several engines. */
public sealed interface SpanningPromptPlan {

    /**
     * The prompt fits into the free memory.
     *
     * @param segments segments in prompt order, which is also the ascending order of agent names in
     *     which they must be reserved; the last agent decodes
     */
    record Placed(List<PromptSegment> segments) implements SpanningPromptPlan {

        public Placed {
            segments = List.copyOf(segments);
        }
    }

    /**
     * The prompt fits once other work has released memory.
     *
     * @param missingTokens memory that must become free, in tokens
     */
    record Busy(long missingTokens) implements SpanningPromptPlan {}

    /**
     * The prompt exceeds the memory of all agents together.
     *
     * @param neededTokens memory that the prompt and its output need, in tokens
     * @param totalTokens memory of all agents together, in tokens
     */
    record Impossible(long neededTokens, long totalTokens) implements SpanningPromptPlan {}
}
