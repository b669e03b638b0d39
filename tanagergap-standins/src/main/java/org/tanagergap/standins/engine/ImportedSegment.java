package org.tanagergap.standins.engine;

/**
 * Segment that another engine exported.
 *
 * @param tokens its length in tokens
 * @param digest digest of the prompt up to its end
 */
record ImportedSegment(long tokens, long digest) {}
