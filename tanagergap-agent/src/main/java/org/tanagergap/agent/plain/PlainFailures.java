package org.tanagergap.agent.plain;

import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.runtime.async.Futures;

/** Converts the exceptions of calls to plain services to request failures. */
final class PlainFailures {

    private PlainFailures() {}

    /** Failure of a call that was sent; its execution is unknown unless the client states it. */
    static RequestFailure ofSend(Throwable failure) {
        Throwable root = Futures.rootFailure(failure);
        if (root instanceof RequestFailure requestFailure) {
            return requestFailure;
        }
        return RequestFailure.of(
                        FailureCode.UPSTREAM_FAILED,
                        Execution.UNKNOWN,
                        "plain service failed: " + root.getMessage())
                .withCause(root);
    }

    /** Failure to record the intent; the call is never sent. */
    static RequestFailure ofBegin(Throwable failure) {
        Throwable root = Futures.rootFailure(failure);
        if (root instanceof RequestFailure requestFailure) {
            return requestFailure;
        }
        return RequestFailure.notRun(
                        FailureCode.UNAVAILABLE, "intent could not be recorded: " + root)
                .withCause(root);
    }
}
