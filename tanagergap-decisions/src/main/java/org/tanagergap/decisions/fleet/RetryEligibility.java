package org.tanagergap.decisions.fleet;

import org.tanagergap.api.failure.Execution;

/**
 * Decides whether a failed attempt may be followed by another one, apart from time and budget.
 *
 * @param idempotent whether the request may run more than once
 * @param maxAttempts most upstreams that may run the request
 */
public record RetryEligibility(boolean idempotent, int maxAttempts) {

    /** Attempts beyond the allowed runs, for upstreams that did not run the request. */
    private static final int MAX_REFUSED_ATTEMPTS = 3;

    /**
     * Whether the request may be sent again.
     *
     * @param execution what is known of the last attempt
     * @param possibleRuns attempts so far that may have run
     * @param notRun attempts so far that have certainly not run
     */
    public boolean mayRetry(Execution execution, int possibleRuns, int notRun) {
        if (execution == Execution.NOT_RUN) {
            return notRun <= MAX_REFUSED_ATTEMPTS
                    && (possibleRuns == 0 || idempotent)
                    && possibleRuns < Math.max(1, maxAttempts);
        }
        return idempotent && possibleRuns < maxAttempts;
    }
}
