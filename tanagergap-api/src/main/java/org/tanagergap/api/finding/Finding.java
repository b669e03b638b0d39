package org.tanagergap.api.finding;

import java.util.Objects;

/**
 * Problem found while checking input.
 *
 * @param place where the problem is: a JSON pointer with its line, or a flag and its variable
 * @param message what is wrong and what is expected
 */
public record Finding(String place, String message) {

    public Finding {
        Objects.requireNonNull(place, "place must not be null");
        Objects.requireNonNull(message, "message must not be null");
    }

    @Override
    public String toString() {
        return place + ": " + message;
    }
}
