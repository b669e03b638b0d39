package org.tanagergap.state.configuration;

/**
 * Accepted document.
 *
 * @param version number of the acceptance, rising by one from 1
 * @param document JSON text
 */
public record StoredConfiguration(long version, String document) {}
