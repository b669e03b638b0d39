package org.tanagergap.decisions.retry;

import java.util.EnumSet;
import java.util.Objects;
import java.util.Set;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.api.time.RuntimeClock;

/** Decides whether a failed attempt is followed by another one. */
public final class RetryPolicy {

    private static final int DEFAULT_MAX_RETRIES = 2;

    /** Failures that are specific to one agent or upstream, so that another one may succeed. */
    private static final Set<FailureCode> RETRYABLE =
            EnumSet.of(
                    FailureCode.OVERLOADED, FailureCode.UNAVAILABLE, FailureCode.UPSTREAM_FAILED);

    private final RuntimeClock mClock;
    private final RetryBudget mBudget;
    private final int mMaxRetries;

    /** Creates a policy that allows two attempts after the first. */
    public RetryPolicy(RuntimeClock clock, RetryBudget budget) {
        this(clock, budget, DEFAULT_MAX_RETRIES);
    }

    public RetryPolicy(RuntimeClock clock, RetryBudget budget, int maxRetries) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mBudget = Objects.requireNonNull(budget, "budget must not be null");
        if (maxRetries < 0) {
            throw new IllegalArgumentException("maxRetries must not be negative: " + maxRetries);
        }
        mMaxRetries = maxRetries;
    }

    /**
     * Returns true if another attempt may be made now, and then spends a token of the budget.
     *
     * @param failure failure of the last attempt
     * @param idempotent true if the call may run more than once
     * @param attempts number of attempts made so far, at least 1
     * @param deadline deadline of the request
     */
    public boolean mayRetry(
            RequestFailure failure, boolean idempotent, int attempts, Deadline deadline) {
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts must be at least 1: " + attempts);
        }
        return RETRYABLE.contains(failure.code())
                && (failure.execution() == Execution.NOT_RUN || idempotent)
                && attempts <= mMaxRetries
                && !deadline.hasPassed(mClock)
                && mBudget.trySpend();
    }

    /**
     * Returns true if another attempt may start beside open ones on which nothing arrives. Spends
     * no token of the budget.
     *
     * @param repeatable true if the call may run more than once, or has not been sent
     * @param attempts number of attempts made so far, at least 1
     * @param deadline deadline of the request
     */
    public boolean mayStartBeside(boolean repeatable, int attempts, Deadline deadline) {
        if (attempts < 1) {
            throw new IllegalArgumentException("attempts must be at least 1: " + attempts);
        }
        return repeatable && attempts <= mMaxRetries && !deadline.hasPassed(mClock);
    }
}
