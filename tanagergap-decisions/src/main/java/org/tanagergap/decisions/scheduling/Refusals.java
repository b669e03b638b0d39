package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import org.tanagergap.api.failure.FailureCode;

/** Creates refusals whose retry hint is within bounds that callers can use. */
final class Refusals {

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(10);

    private Refusals() {}

    static AdmissionDecision refused(FailureCode code, String message) {
        return refused(code, message, MIN_RETRY_AFTER);
    }

    static AdmissionDecision refused(FailureCode code, String message, Duration retryAfter) {
        Duration atLeast = retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter;
        Duration bounded = atLeast.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : atLeast;
        return new AdmissionDecision.Refused(code, message, bounded);
    }
}
