package org.tanagergap.platform.keyvalue;

/**
 * Value of a key at one revision.
 *
 * @param key the key
 * @param value the value; empty if the key was deleted
 * @param modRevision revision of the store at which the key was last modified
 * @param createRevision revision at which the key was created; 0 if it does not exist
 */
public record KeyValue(String key, String value, long modRevision, long createRevision) {}
