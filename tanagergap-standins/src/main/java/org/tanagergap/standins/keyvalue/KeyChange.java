package org.tanagergap.standins.keyvalue;

import java.util.Optional;

/**
 * Change of one key, reported to watches.
 *
 * @param key the key
 * @param value new value; empty when the key was deleted
 * @param revision revision of the change
 */
public record KeyChange(String key, Optional<StoredValue> value, long revision) {}
