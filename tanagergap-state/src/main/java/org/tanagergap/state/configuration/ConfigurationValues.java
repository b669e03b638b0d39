package org.tanagergap.state.configuration;

import java.util.Optional;

/**
 * Text form of the values under {@link ConfigurationKeys}. The current configuration is the version
 * in the first line followed by the document; JSON around the document would escape it and enlarge
 * it beyond the value limit.
 */
final class ConfigurationValues {

    private static final String ACCEPTED = "accepted ";
    private static final String ABANDONED = "abandoned";

    private ConfigurationValues() {}

    static String current(StoredConfiguration configuration) {
        return configuration.version() + "\n" + configuration.document();
    }

    /** Reads the current configuration; throws when the value has another form. */
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

    /** Version as which a submission was accepted; empty when it was abandoned. */
    static Optional<Long> parseSubmission(String value) {
        return value.startsWith(ACCEPTED)
                ? Optional.of(Long.parseLong(value.substring(ACCEPTED.length())))
                : Optional.empty();
    }
}
