package org.tanagergap.standins.keyvalue;

/**
 * Value of a key with its history numbers.
 *
 * @param value text
 * @param createRevision revision at which the key was created
 * @param modRevision revision of the last write
 * @param version number of writes since the key was created
 * @param leaseId lease under which it was written; 0 for none
 */
public record StoredValue(
        String value, long createRevision, long modRevision, long version, long leaseId) {}
