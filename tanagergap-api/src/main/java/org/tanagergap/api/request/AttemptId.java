package org.tanagergap.api.request;

import java.util.Objects;

/**
 * Identifier of one attempt of a request; upstreams echo it on every event.
 *
 * @param value text form, unique across entries
 */
public record AttemptId(String value) {

    public AttemptId {
        Objects.requireNonNull(value, "value must not be null");
    }

    @Override
    public String toString() {
        return value;
    }
}
