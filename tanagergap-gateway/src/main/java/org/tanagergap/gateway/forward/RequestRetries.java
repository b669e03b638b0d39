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
    private boolean mReserved;

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

    /** Records an attempt that failed at the upstream. */
    void failed(String upstream, Execution execution) {
        mFailedUpstreams.add(upstream);
        if (execution == Execution.NOT_RUN) {
            mNotRun++;
        } else {
            mPossibleRuns++;
        }
    }

    /** Takes a retry after an attempt that ended as given, if rules and budget allow it. */
    boolean tryRetry(Execution execution) {
        return rulesAllow(execution) && trySpend();
    }

    /**
     * Takes a retry after a failed attempt, using one that was reserved before.
     *
     * @param free whether the attempt reached no upstream, so that another one is not a retry
     */
    boolean tryRetryAfterFailure(Execution execution, boolean free) {
        boolean paid = free || mReserved;
        mReserved = false;
        return rulesAllow(execution) && (paid || trySpend());
    }

    /** Returns true if the rules allow a retry while an attempt runs that would be ended. */
    boolean mayRetryAfterRunningAttempt() {
        return mEligibility.mayRetry(Execution.UNKNOWN, mPossibleRuns + 1, mNotRun);
    }

    /** Takes a retry from the budget for the next failed attempt. */
    boolean tryReserve() {
        mReserved = trySpend();
        return mReserved;
    }

    void clearReservation() {
        mReserved = false;
    }

    private boolean rulesAllow(Execution execution) {
        return mEligibility.mayRetry(execution, mPossibleRuns, mNotRun);
    }

    private boolean trySpend() {
        return mBudgets.trySpend(mService);
    }
}
