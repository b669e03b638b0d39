package org.tanagergap.decisions.spanning;

/**
 * Agent whose engine can take a segment of a prompt.
 *
 * @param agent name of the agent
 * @param memoryTokensTotal memory of its engine, in tokens
 * @param memoryTokensFree free memory according to its last hint, in tokens
 */
public record SpanningPromptCandidate(
        String agent, long memoryTokensTotal, long memoryTokensFree) {}
