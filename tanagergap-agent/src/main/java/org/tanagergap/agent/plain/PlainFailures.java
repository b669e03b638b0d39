package org.tanagergap.agent.plain;

import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.runtime.async.Futures;

/** Failures of calls to plain services. */
final class PlainFailures {

    private PlainFailures() {}

    /** Failure of a send; unknown execution unless the upstream client states otherwise. */
    static RequestFailure ofSend(Throwable failure) {
        Throwable root = Futures.rootFailure(failure);
        if (root instanceof RequestFailure known) {
            return known;
        }
        return RequestFailure.of(
                        FailureCode.UPSTREAM_FAILED,
                        Execution.UNKNOWN,
                        "plain service failed: " + root.getMessage())
                .withCause(root);
    }

    /** Failure to get a grant; the call was not sent and never will be. */
    static RequestFailure ofBegin(Throwable failure) {
        Throwable root = Futures.rootFailure(failure);
        if (root instanceof RequestFailure known) {
            return known;
        }
        return RequestFailure.notRun(
                        FailureCode.UNAVAILABLE, "intent could not be recorded: " + root)
                .withCause(root);
    }
}
