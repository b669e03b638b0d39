package org.tanagergap.standins.engine;

/**
 * Where the KV cache of a segment can be imported from.
 *
 * @param url base URL of the engine that holds it
 * @param handle its handle there
 */
record SegmentAddress(String url, String handle) {}
