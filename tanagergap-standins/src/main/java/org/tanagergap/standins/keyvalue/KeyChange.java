package org.tanagergap.standins.keyvalue;

import java.util.Optional;

/**
 * Change of one key, as watches report it.
 *
 * @param key the key
 * @param value new value; empty when the key was deleted
 * @param revision revision of the change
 */
public record KeyChange(String key, Optional<StoredValue> value, long revision) {}
