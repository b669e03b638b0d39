package org.tanagergap.agent.engine;

/**
 * Change of an engine's prefix cache.
 *
 * @param sequence number of the event; events may be missing
 * @param stored whether the prefix was stored rather than evicted
 * @param prefixHash hash of the prefix
 */
public record CacheEvent(long sequence, boolean stored, String prefixHash) {}
