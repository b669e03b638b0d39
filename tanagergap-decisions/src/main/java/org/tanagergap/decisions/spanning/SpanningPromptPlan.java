package org.tanagergap.decisions.spanning;

import java.util.List;

/** Result of planning a prompt over several engines. */
public sealed interface SpanningPromptPlan {

    /**
     * The prompt fits now.
     *
     * @param segments segments in order of the prompt and in ascending order of agent name, in
     *     which they must be reserved; the last agent decodes
     */
    record Placed(List<PromptSegment> segments) implements SpanningPromptPlan {

        public Placed {
            segments = List.copyOf(segments);
        }
    }

    /**
     * The agents can hold the prompt when other work has finished.
     *
     * @param missingTokens memory that must become free
     */
    record Busy(long missingTokens) implements SpanningPromptPlan {}

    /**
     * No set of the agents can hold the prompt.
     *
     * @param neededTokens memory that the prompt and its output need
     * @param totalTokens memory of all agents together
     */
    record Impossible(long neededTokens, long totalTokens) implements SpanningPromptPlan {}
}
