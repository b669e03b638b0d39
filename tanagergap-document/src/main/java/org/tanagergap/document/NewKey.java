package org.tanagergap.document;

import org.tanagergap.api.configuration.KeyDefinition;

/**
 * Newly generated key.
 *
 * @param text text that callers send; it is not stored
 * @param definition entry for the configuration document
 */
public record NewKey(String text, KeyDefinition definition) {

    /** Omits the text to keep the secret out of logs. */
    @Override
    public String toString() {
        return "NewKey[" + definition.id() + "]";
    }
}
