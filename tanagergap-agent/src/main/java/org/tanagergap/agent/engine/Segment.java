package org.tanagergap.agent.engine;

/**
 * Segment of a prompt whose KV cache is stored on this engine.
 *
 * @param handle handle of its KV cache
 * @param tokens length of the segment
 */
public record Segment(String handle, long tokens) {}
