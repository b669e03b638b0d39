package org.tanagergap.agent.engine;

/**
 * Segment of a prompt whose KV cache an engine holds.
 *
 * @param url base URL of that engine
 * @param handle handle of the segment at that engine
 */
public record RemoteSegment(String url, String handle) {}
