package org.tanagergap.api.finding;

import java.util.Objects;

/**
 * Problem found while checking input.
 *
 * @param location JSON pointer with its line, or flag with its variable, that has the problem
 * @param message what is wrong and what is expected
 */
public record Finding(String location, String message) {

    public Finding {
        Objects.requireNonNull(location, "location must not be null");
        Objects.requireNonNull(message, "message must not be null");
    }

    @Override
    public String toString() {
        return location + ": " + message;
    }
}
