package org.tanagergap.api.failure;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Reasons for which a request is refused or fails, with their HTTP status. */
public enum FailureCode {
    /** The JSON or one of its fields is invalid. */
    MALFORMED_REQUEST(400),
    /** The rank does not exist. */
    UNKNOWN_RANK(400),
    /** The deadline is not a positive number of milliseconds within the limit. */
    INVALID_DEADLINE(400),
    /** The call is not idempotent and carries no idempotency key. */
    IDEMPOTENCY_KEY_REQUIRED(400),
    /** The workspace key is missing or unknown. */
    UNAUTHORIZED(401),
    /** The workspace may not use the service or rank. */
    FORBIDDEN(403),
    /** No service offers the model. */
    UNKNOWN_MODEL(404),
    /** No route matches the host and path. */
    UNKNOWN_ROUTE(404),
    /** The service does not exist. */
    UNKNOWN_SERVICE(404),
    /** The body did not arrive in time. */
    REQUEST_TIMEOUT(408),
    /** A call with the same idempotency key is still running. */
    IN_PROGRESS(409),
    /** An earlier call with the same key was sent and its outcome is unknown. */
    OUTCOME_UNKNOWN(409),
    /** The body exceeds its limit, or the prompt exceeds the memory of the fleet. */
    BODY_TOO_LARGE(413),
    /** The same idempotency key was used with another body. */
    IDEMPOTENCY_CONFLICT(422),
    /** The queue is full or the predicted wait exceeds the deadline. */
    OVERLOADED(429),
    /** The upstream failed and no retry is allowed. */
    UPSTREAM_FAILED(502),
    /** No upstream, configuration or intent log is available. */
    UNAVAILABLE(503),
    /** Engines crashed on a part of the prompt, so that it is not sent to one for some time. */
    PROMPT_QUARANTINED(503),
    /** The time allowed for the request has passed. */
    DEADLINE_EXCEEDED(504);

    private final int mHttpStatus;

    FailureCode(int httpStatus) {
        mHttpStatus = httpStatus;
    }

    /** Returns the HTTP status of a response with this code. */
    public int httpStatus() {
        return mHttpStatus;
    }

    /** Returns the name used in error bodies and in messages between programs. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the code with the given wire name; empty if there is none. */
    public static Optional<FailureCode> ofWireName(String wireName) {
        return Arrays.stream(values()).filter(c -> c.wireName().equals(wireName)).findFirst();
    }
}
