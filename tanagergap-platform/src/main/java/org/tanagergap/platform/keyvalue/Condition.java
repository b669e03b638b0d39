package org.tanagergap.platform.keyvalue;

/** Condition of a transaction on one key. */
public sealed interface Condition {

    String key();

    /** The key does not exist. */
    record Absent(String key) implements Condition {}

    /** The key was last modified at the given revision; 0 means that it does not exist. */
    record AtRevision(String key, long modRevision) implements Condition {}
}
