package org.tanagergap.decisions.spanning;

/**
 * Agent that can hold a segment.
 *
 * @param agent name of the agent
 * @param memoryTokensTotal memory of its engine, in tokens
 * @param memoryTokensFree free memory by its last hint, in tokens
 */
public record SpanningPromptCandidate(
        String agent, long memoryTokensTotal, long memoryTokensFree) {}
