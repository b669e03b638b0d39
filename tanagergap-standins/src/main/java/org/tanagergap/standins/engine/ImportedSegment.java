package org.tanagergap.standins.engine;

/**
 * Segment imported from another engine.
 *
 * @param tokens length of the segment in tokens
 * @param digest digest of the prompt up to the end of the segment
 */
record ImportedSegment(long tokens, long digest) {}
