package org.tanagergap.entry;

import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.entry.execution.CallerRequest;
import org.tanagergap.entry.execution.RetryGate;

/** Permits two further attempts when the work has not run or may run again. */
final class FakeRetries implements RetryGate {

    @Override
    public void firstAttempt() {}

    @Override
    public boolean mayRetry(CallerRequest request, RequestFailure failure, int attemptsMade) {
        return attemptsMade < 3
                && (request.work().idempotent() || failure.execution() == Execution.NOT_RUN);
    }
}
