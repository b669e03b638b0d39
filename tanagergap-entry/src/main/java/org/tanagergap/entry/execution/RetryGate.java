package org.tanagergap.entry.execution;

import org.tanagergap.api.failure.RequestFailure;

/** Decides about further attempts of a request. */
public interface RetryGate {

    /** Records the first attempt of a request. */
    void firstAttempt();

    /** Whether another attempt may follow the failure; spends budget when it may. */
    boolean mayRetry(CallerRequest request, RequestFailure failure, int attemptsMade);
}
