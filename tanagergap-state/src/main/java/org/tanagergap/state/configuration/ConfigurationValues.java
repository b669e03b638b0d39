package org.tanagergap.state.configuration;

import java.util.Optional;

/**
 * Encodes the values stored under {@link ConfigurationKeys}. The current configuration is encoded
 * as a line with the version followed by the document. Wrapping the document in JSON would escape
 * it and could enlarge it beyond the value limit of the store.
 */
final class ConfigurationValues {

    private static final String ACCEPTED = "accepted ";
    private static final String ABANDONED = "abandoned";

    private ConfigurationValues() {}

    static String current(StoredConfiguration configuration) {
        return configuration.version() + "\n" + configuration.document();
    }

    /**
     * Parses the current configuration.
     *
     * @throws IllegalStateException if the value has no version line
     * @throws NumberFormatException if the version is not a number
     */
    static StoredConfiguration parseCurrent(String value) {
        int end = value.indexOf('\n');
        if (end <= 0) {
            throw new IllegalStateException("the stored configuration has no version");
        }
        long version = Long.parseLong(value.substring(0, end));
        return new StoredConfiguration(version, value.substring(end + 1));
    }

    static String accepted(long version) {
        return ACCEPTED + version;
    }

    static String abandoned() {
        return ABANDONED;
    }

    /** Parses the version as which a submission was accepted; empty if it was abandoned. */
    static Optional<Long> parseSubmission(String value) {
        return value.startsWith(ACCEPTED)
                ? Optional.of(Long.parseLong(value.substring(ACCEPTED.length())))
                : Optional.empty();
    }
}
