package org.tanagergap.standins.engine;

/**
 * Location from which the KV cache of a segment can be imported.
 *
 * @param url base URL of the engine that retains it
 * @param handle handle of the segment at that engine
 */
record SegmentAddress(String url, String handle) {}
