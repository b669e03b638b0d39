package org.tanagergap.state.configuration;

/**
 * Accepted configuration document.
 *
 * @param version version of the configuration; starts at 1 and increases by one
 * @param document JSON text
 */
public record StoredConfiguration(long version, String document) {}
