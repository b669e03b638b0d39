package org.tanagergap.api.failure;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

/** Failure of a request as reported to its caller; completes futures exceptionally. */
public final class RequestFailure extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final FailureCode mCode;
    private final Execution mExecution;
    private final String mField;
    private final Duration mRetryAfter;

    private RequestFailure(
            FailureCode code,
            Execution execution,
            String message,
            String field,
            Duration retryAfter,
            Throwable cause) {
        super(message, cause);
        mCode = Objects.requireNonNull(code, "code must not be null");
        mExecution = Objects.requireNonNull(execution, "execution must not be null");
        mField = field;
        mRetryAfter = retryAfter;
    }

    /** Creates a failure of a request that has certainly not run. */
    public static RequestFailure notRun(FailureCode code, String message) {
        return new RequestFailure(code, Execution.NOT_RUN, message, null, null, null);
    }

    /** Creates a failure of a request with the given execution state. */
    public static RequestFailure of(FailureCode code, Execution execution, String message) {
        return new RequestFailure(code, execution, message, null, null, null);
    }

    /** Returns a copy with the field or header at fault. */
    public RequestFailure withField(String field) {
        return new RequestFailure(mCode, mExecution, getMessage(), field, mRetryAfter, getCause());
    }

    /** Returns a copy with the time after which the caller's retry may succeed. */
    public RequestFailure withRetryAfter(Duration retryAfter) {
        return new RequestFailure(mCode, mExecution, getMessage(), mField, retryAfter, getCause());
    }

    /** Returns a copy with the underlying cause. */
    public RequestFailure withCause(Throwable cause) {
        return new RequestFailure(mCode, mExecution, getMessage(), mField, mRetryAfter, cause);
    }

    public FailureCode code() {
        return mCode;
    }

    public Execution execution() {
        return mExecution;
    }

    /** Returns the JSON pointer of the field, or the name of the header, at fault. */
    public Optional<String> field() {
        return Optional.ofNullable(mField);
    }

    public Optional<Duration> retryAfter() {
        return Optional.ofNullable(mRetryAfter);
    }
}
