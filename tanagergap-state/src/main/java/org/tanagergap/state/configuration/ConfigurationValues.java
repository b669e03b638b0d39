package org.tanagergap.state.configuration;

import java.util.Optional;
import java.util.OptionalLong;
import org.tanagergap.platform.keyvalue.KeyValue;

/**
 * Encodes the values stored under {@link ConfigurationKeys}. The current configuration is encoded
 * as a line with the version followed by the document. Wrapping the document in JSON would escape
 * it and could enlarge it beyond the value limit of the store.
 */
final class ConfigurationValues {

    private static final String ACCEPTED = "accepted ";

    /** No later version could follow the greatest long; this one takes 10^9 submissions a day. */
    private static final long MAX_VERSION = 1L << 53;

    private static final String ABANDONED = "abandoned";

    private ConfigurationValues() {}

    static String current(StoredConfiguration configuration) {
        return configuration.version() + "\n" + configuration.document();
    }

    /**
     * Parses the current configuration.
     *
     * @throws IllegalStateException if the value has no line with a valid version
     */
    static StoredConfiguration parseCurrent(String value) {
        int end = value.indexOf('\n');
        if (end <= 0) {
            throw new IllegalStateException("the stored configuration has no version");
        }
        long version =
                parseVersion(value.substring(0, end))
                        .orElseThrow(
                                () ->
                                        new IllegalStateException(
                                                "the stored configuration has a malformed"
                                                        + " version"));
        return new StoredConfiguration(version, value.substring(end + 1));
    }

    /** Returns true if the value under the key of the current configuration has a valid version. */
    static boolean isReadable(KeyValue current) {
        int end = current.value().indexOf('\n');
        return end > 0 && parseVersion(current.value().substring(0, end)).isPresent();
    }

    /** Parses the version of a configuration; empty if it is malformed. */
    static OptionalLong parseVersion(String value) {
        try {
            long version = Long.parseLong(value);
            return version >= 1 && version <= MAX_VERSION
                    ? OptionalLong.of(version)
                    : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
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
