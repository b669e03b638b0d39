package org.tanagergap.agent.engine;

/**
 * Change of an engine's prefix cache.
 *
 * @param sequence number of the event; there are gaps where events were lost
 * @param stored true if the prefix was stored, false if it was evicted
 * @param prefixHash hash of the prefix
 */
public record CacheEvent(long sequence, boolean stored, String prefixHash) {}
