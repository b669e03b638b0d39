package org.tanagergap.document;

import org.tanagergap.api.configuration.KeyDefinition;

/**
 * Key that was just made.
 *
 * @param text text that callers send; not stored anywhere
 * @param definition entry for the document
 */
public record NewKey(String text, KeyDefinition definition) {

    /** Omits the text, so that it does not reach logs. */
    @Override
    public String toString() {
        return "NewKey[" + definition.id() + "]";
    }
}
