package org.tanagergap.entry.configuration;

import org.tanagergap.api.configuration.Configuration;

/** Reads a configuration document; throws {@code InvalidInputException} if it is not valid. */
@FunctionalInterface
public interface DocumentReader {

    /** Returns the configuration of the document, with the given version. */
    Configuration read(String document, long version);
}
