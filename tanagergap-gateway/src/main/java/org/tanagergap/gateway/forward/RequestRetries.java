package org.tanagergap.gateway.forward;

import java.util.HashSet;
import java.util.Set;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.decisions.fleet.RetryEligibility;
import org.tanagergap.gateway.caller.GatewayRequest;

/** Attempts of one request so far, and whether another may follow. Confined to the event loop. */
final class RequestRetries {

    private final RetryBudgets mBudgets;
    private final String mService;
    private final RetryEligibility mEligibility;
    private final Set<String> mFailedUpstreams = new HashSet<>();
    private int mPossibleRuns;
    private int mNotRun;

    RequestRetries(RetryBudgets budgets, GatewayRequest request) {
        mBudgets = budgets;
        mService = request.service().name();
        mEligibility =
                new RetryEligibility(request.route().retryable(), request.route().maxAttempts());
    }

    /** Upstreams at which an attempt has failed. */
    Set<String> failedUpstreams() {
        return mFailedUpstreams;
    }

    /** Returns true if an upstream may have run the request. */
    boolean mayHaveRun() {
        return mPossibleRuns > 0;
    }

    /** Records an attempt that was answered. */
    void answered() {
        mPossibleRuns++;
    }

    /** Records an attempt whose upstream reported a failure of its own. */
    void answeredWithFailure(String upstream) {
        mFailedUpstreams.add(upstream);
        answered();
    }

    /** Records an attempt that was cancelled and may have run. */
    void cancelled() {
        mPossibleRuns++;
    }

    /** Records an attempt that failed at the upstream. */
    void failed(String upstream, Execution execution) {
        mFailedUpstreams.add(upstream);
        if (execution == Execution.NOT_RUN) {
            mNotRun++;
        } else {
            mPossibleRuns++;
        }
    }

    /**
     * Takes a retry after a failed attempt, if rules and budget allow it.
     *
     * @param free whether the attempt reached no upstream, so that another one is not a retry
     */
    boolean tryRetryAfterFailure(Execution execution, boolean free) {
        return rulesAllow(execution) && (free || trySpend());
    }

    /** Returns true if the rules allow another attempt beside that many open ones. */
    boolean mayStartBeside(int openAttempts) {
        return mEligibility.mayRetry(Execution.UNKNOWN, mPossibleRuns + openAttempts, mNotRun)
                && mEligibility.mayRetry(Execution.NOT_RUN, mPossibleRuns + openAttempts, mNotRun);
    }

    /** Takes one retry from the budget. */
    boolean trySpend() {
        return mBudgets.trySpend(mService);
    }

    private boolean rulesAllow(Execution execution) {
        return mEligibility.mayRetry(execution, mPossibleRuns, mNotRun);
    }
}
