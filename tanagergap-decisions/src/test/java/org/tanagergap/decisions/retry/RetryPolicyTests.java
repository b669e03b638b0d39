package org.tanagergap.decisions.retry;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.testing.PausedClock;

class RetryPolicyTests {

    private final PausedClock mClock = new PausedClock();
    private final RetryPolicy mPolicy = new RetryPolicy(mClock, new RetryBudget());
    private final Deadline mDeadline = Deadline.after(mClock, Duration.ofSeconds(1));

    private static RequestFailure failure(FailureCode code, Execution execution) {
        return RequestFailure.of(code, execution, "test");
    }

    /** Guards against a second run of a call that may have run already. */
    @Test
    void aNonIdempotentCallIsRetriedOnlyWhenItHasCertainlyNotRun() {
        for (Execution execution : Execution.values()) {
            RequestFailure failure = failure(FailureCode.UPSTREAM_FAILED, execution);
            assertThat(mPolicy.mayRetry(failure, false, 1, mDeadline))
                    .isEqualTo(execution == Execution.NOT_RUN);
            assertThat(mPolicy.mayRetry(failure, true, 1, mDeadline)).isTrue();
        }
    }

    /** Guards against retries without end or after the deadline. */
    @Test
    void retriesEndAfterTwoAndAtTheDeadline() {
        RequestFailure failure = failure(FailureCode.OVERLOADED, Execution.NOT_RUN);
        assertThat(mPolicy.mayRetry(failure, true, 2, mDeadline)).isTrue();
        assertThat(mPolicy.mayRetry(failure, true, 3, mDeadline)).isFalse();
        mClock.advance(Duration.ofSeconds(1));
        assertThat(mPolicy.mayRetry(failure, true, 1, mDeadline)).isFalse();
    }

    /**
     * Guards against a second run of work that may not be repeated, and against more than three.
     */
    @Test
    void anotherAttemptStartsOnlyBesideRepeatableOnesAndWithinTheLimits() {
        assertThat(mPolicy.mayStartBeside(false, 1, mDeadline)).isFalse();
        assertThat(mPolicy.mayStartBeside(true, 2, mDeadline)).isTrue();
        assertThat(mPolicy.mayStartBeside(true, 3, mDeadline)).isFalse();
        mClock.advance(Duration.ofSeconds(1));
        assertThat(mPolicy.mayStartBeside(true, 1, mDeadline)).isFalse();
    }

    /** Guards against retries of requests that fail the same way everywhere. */
    @Test
    void errorsOfTheRequestItselfAreNotRetried() {
        RequestFailure failure = failure(FailureCode.MALFORMED_REQUEST, Execution.NOT_RUN);
        assertThat(mPolicy.mayRetry(failure, true, 1, mDeadline)).isFalse();
    }

    /** Guards against retries that multiply an overload. */
    @Property(seed = "20261204", tries = 200)
    void retriesNeverExceedTheInitialTokensAndATenthOfFirstAttempts(
            @ForAll @Size(500) boolean[] isFirst) {
        RetryBudget budget = new RetryBudget(0.1, 5);
        int first = 0;
        int retries = 0;
        for (boolean attempt : isFirst) {
            if (attempt) {
                budget.firstAttempt();
                first++;
            } else if (budget.trySpend()) {
                retries++;
            }
            assertThat((double) retries).isAtMost(5 + 0.1 * first + 1e-6);
        }
    }
}
