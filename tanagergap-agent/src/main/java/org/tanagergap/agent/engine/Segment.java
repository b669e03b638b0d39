package org.tanagergap.agent.engine;

/**
 * Segment that this engine holds.
 *
 * @param handle handle of its KV cache
 * @param tokens its length
 */
public record Segment(String handle, long tokens) {}
