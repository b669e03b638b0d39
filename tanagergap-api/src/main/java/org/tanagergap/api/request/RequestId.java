package org.tanagergap.api.request;

import java.util.Objects;

/**
 * Identifier of a caller's request.
 *
 * @param value text form, unique across entries
 */
public record RequestId(String value) {

    public RequestId {
        Objects.requireNonNull(value, "value must not be null");
    }

    /** Returns the identifier of the request's n-th attempt, starting at 1. */
    public AttemptId attempt(int number) {
        return new AttemptId(value + "." + number);
    }

    @Override
    public String toString() {
        return value;
    }
}
