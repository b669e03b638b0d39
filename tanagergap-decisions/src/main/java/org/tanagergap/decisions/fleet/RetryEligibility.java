package org.tanagergap.decisions.fleet;

import org.tanagergap.api.failure.Execution;

/**
 * Decides whether a failed attempt may be followed by another one, apart from time and budget.
 *
 * @param idempotent true if the request may run more than once
 * @param maxAttempts maximum number of upstreams that may run the request
 */
public record RetryEligibility(boolean idempotent, int maxAttempts) {

    /** Additional attempts for upstreams that refused the request without running it. */
    private static final int MAX_REFUSED_ATTEMPTS = 3;

    /**
     * Returns true if another attempt may follow.
     *
     * @param execution execution state of the last attempt
     * @param possibleRuns number of attempts so far that may have run
     * @param notRun number of attempts so far that have certainly not run
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
