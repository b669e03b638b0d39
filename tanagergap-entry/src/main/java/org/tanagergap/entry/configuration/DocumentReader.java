package org.tanagergap.entry.configuration;

import org.tanagergap.api.configuration.Configuration;

/** Reads a configuration document; throws {@code InvalidInputException} when it is not valid. */
@FunctionalInterface
public interface DocumentReader {

    /** Configuration of the document, with the given version. */
    Configuration read(String document, long version);
}
