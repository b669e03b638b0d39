package org.tanagergap.state.configuration;

/** Keys of the configuration in the key-value service. */
final class ConfigurationKeys {

    static final String CURRENT = "/tanagergap/configuration/current";

    private static final String SUBMISSIONS = "/tanagergap/configuration/submissions/";

    private ConfigurationKeys() {}

    static String submission(String nonce) {
        return SUBMISSIONS + nonce;
    }
}
