package org.tanagergap.decisions.spanning;

/**
 * Part of a prompt on one agent.
 *
 * @param agent name of the agent
 * @param firstToken offset of the segment in the prompt, in tokens
 * @param promptTokens length of the segment, in tokens
 * @param memoryTokens memory to reserve: the segment and, on the last agent, the output
 */
public record PromptSegment(String agent, long firstToken, long promptTokens, long memoryTokens) {}
