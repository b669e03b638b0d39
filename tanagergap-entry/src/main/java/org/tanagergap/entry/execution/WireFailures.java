package org.tanagergap.entry.execution;

import java.time.Duration;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.protocol.v1.Failed;

/** Converts failure messages of agents to request failures. */
final class WireFailures {

    /** A {@code Duration} of 300 years has no nanoseconds. */
    private static final long MAX_RETRY_AFTER_MILLIS = Duration.ofDays(1).toMillis();

    private WireFailures() {}

    static RequestFailure read(Failed failed) {
        FailureCode code =
                FailureCode.ofWireName(failed.getCode()).orElse(FailureCode.UPSTREAM_FAILED);
        Execution execution =
                switch (failed.getExecution()) {
                    case EXECUTION_NOT_RUN -> Execution.NOT_RUN;
                    case EXECUTION_RAN -> Execution.RAN;
                    default -> Execution.UNKNOWN;
                };
        RequestFailure failure = RequestFailure.of(code, execution, failed.getMessage());
        if (failed.getRetryAfterMs() > 0) {
            failure =
                    failure.withRetryAfter(
                            Duration.ofMillis(
                                    Math.min(MAX_RETRY_AFTER_MILLIS, failed.getRetryAfterMs())));
        }
        return failed.getField().isEmpty() ? failure : failure.withField(failed.getField());
    }

    /** Copy with another execution status. */
    static RequestFailure withExecution(RequestFailure failure, Execution execution) {
        if (failure.execution() == execution) {
            return failure;
        }
        RequestFailure copy =
                RequestFailure.of(failure.code(), execution, failure.getMessage())
                        .withCause(failure.getCause());
        if (failure.retryAfter().isPresent()) {
            copy = copy.withRetryAfter(failure.retryAfter().get());
        }
        return failure.field().isPresent() ? copy.withField(failure.field().get()) : copy;
    }
}
