package org.tanagergap.state.configuration;

/** Keys under which the key-value store holds the configuration. */
final class ConfigurationKeys {

    static final String CURRENT = "/tanagergap/configuration/current";

    /** Version of the current configuration; far smaller to read than the document. */
    static final String VERSION = "/tanagergap/configuration/version";

    private static final String SUBMISSIONS = "/tanagergap/configuration/submissions/";

    private ConfigurationKeys() {}

    static String submission(String nonce) {
        return SUBMISSIONS + nonce;
    }
}
