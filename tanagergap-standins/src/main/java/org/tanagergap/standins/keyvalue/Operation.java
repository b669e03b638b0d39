package org.tanagergap.standins.keyvalue;

/** Write operation of a transaction. */
public sealed interface Operation {

    /** Sets a key; a lease id of 0 means no lease. */
    record Put(String key, String value, long leaseId) implements Operation {}

    /** Deletes all keys of a range. */
    record Delete(KeyRange range) implements Operation {}
}
