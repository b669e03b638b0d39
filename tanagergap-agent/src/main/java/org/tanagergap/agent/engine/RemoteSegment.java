package org.tanagergap.agent.engine;

/**
 * Segment of a prompt whose KV cache is stored on another engine.
 *
 * @param url base URL of that engine
 * @param handle handle of the segment on that engine
 */
public record RemoteSegment(String url, String handle) {}
