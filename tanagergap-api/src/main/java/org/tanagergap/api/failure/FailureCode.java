package org.tanagergap.api.failure;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Reasons for which a request is refused or fails, with their HTTP status. */
public enum FailureCode {
    /** JSON or field error. */
    MALFORMED_REQUEST(400),
    /** The rank does not exist. */
    UNKNOWN_RANK(400),
    /** The deadline is not a positive number of milliseconds within the limit. */
    INVALID_DEADLINE(400),
    /** The call may not be repeated and carries no idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED(400),
    /** Missing or unknown workspace key. */
    UNAUTHORIZED(401),
    /** The workspace may not use the service or rank. */
    FORBIDDEN(403),
    /** No service offers the model. */
    UNKNOWN_MODEL(404),
    /** No route leads anywhere from the host and path. */
    UNKNOWN_ROUTE(404),
    /** The service does not exist. */
    UNKNOWN_SERVICE(404),
    /** The body did not arrive in time. */
    REQUEST_TIMEOUT(408),
    /** A call with the same idempotency key is still running. */
    IN_PROGRESS(409),
    /** An earlier call with the same key was sent and its outcome is not known. */
    OUTCOME_UNKNOWN(409),
    /** The body exceeds its limit or the prompt exceeds what the fleet can hold. */
    BODY_TOO_LARGE(413),
    /** The same idempotency key was used with another body. */
    IDEMPOTENCY_CONFLICT(422),
    /** The queue is full or the predicted wait exceeds the deadline. */
    OVERLOADED(429),
    /** The upstream failed and no retry is allowed. */
    UPSTREAM_FAILED(502),
    /** No upstream, configuration or record of intent is available. */
    UNAVAILABLE(503),
    /** The time allowed for the request is up. */
    DEADLINE_EXCEEDED(504);

    private final int mHttpStatus;

    FailureCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** HTTP status of the answer that carries this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Name used in error bodies and messages between programs. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds the code with the given name. */
    public static Optional<FailureCode> ofWireName(String wireName) {
        return Arrays.stream(values()).filter(c -> c.wireName().equals(wireName)).findFirst();
    }
}
