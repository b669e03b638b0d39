package org.tanagergap.standins.keyvalue;

/** Write of a transaction. */
public sealed interface Operation {

    /** Sets a key; lease 0 means none. */
    record Put(String key, String value, long leaseId) implements Operation {}

    /** Deletes keys. */
    record Delete(KeyRange range) implements Operation {}
}
