package org.tanagergap.document;

import java.util.Objects;
import java.util.Optional;

/**
 * One difference between two documents.
 *
 * @param pointer JSON pointer in the new document, or in the old one for removed values
 * @param subject the same location, with objects identified by name instead of position
 * @param oldValue JSON text before the change; empty when the value was added
 * @param newValue JSON text after the change; empty when the value was removed
 */
public record ConfigurationChange(
        String pointer, String subject, Optional<String> oldValue, Optional<String> newValue) {

    public ConfigurationChange {
        Objects.requireNonNull(pointer, "pointer must not be null");
        Objects.requireNonNull(subject, "subject must not be null");
    }

    @Override
    public String toString() {
        return String.format(
                "%s %s: %s -> %s",
                pointer, subject, oldValue.orElse("(absent)"), newValue.orElse("(absent)"));
    }
}
