package org.tanagergap.standins.engine;

/**
 * Change of the prefix cache.
 *
 * @param sequence number of the event; a gap in the numbers means lost events
 * @param kind {@code stored} or {@code evicted}
 * @param cacheSalt salt of the block
 * @param prefixHash hash of the block and all blocks before it
 */
public record StandInCacheEvent(long sequence, String kind, String cacheSalt, long prefixHash) {}
