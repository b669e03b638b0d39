package org.tanagergap.standins.keyvalue;

/**
 * Value of a key with its revisions and version.
 *
 * @param value value as text
 * @param createRevision revision at which the key was created
 * @param modRevision revision of the last write
 * @param version number of writes since the key was created
 * @param leaseId lease of the key; 0 for none
 */
public record StoredValue(
        String value, long createRevision, long modRevision, long version, long leaseId) {}
