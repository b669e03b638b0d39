package org.tanagergap.entry.execution;

import com.google.common.flogger.FluentLogger;
import io.vertx.grpc.common.GrpcErrorException;
import io.vertx.grpc.common.GrpcStatus;
import java.util.Objects;
import java.util.stream.Stream;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.FailureCode;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestId;
import org.tanagergap.runtime.log.LogKeys;

/** Failures of calls to agents. */
final class AgentFailures {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private AgentFailures() {}

    static RequestFailure unreachable(String agent, Throwable cause) {
        return RequestFailure.notRun(
                        FailureCode.UNAVAILABLE, "agent " + agent + " cannot be reached")
                .withCause(cause);
    }

    /**
     * Returns true if the agent has refused the call, which promises that nothing has run (RFC
     * 9113, section 8.7).
     */
    static boolean isRefusal(Throwable cause) {
        return Stream.iterate(cause, Objects::nonNull, Throwable::getCause)
                .anyMatch(AgentFailures::isRefusedStream);
    }

    private static boolean isRefusedStream(Throwable cause) {
        // The gRPC client gives this status to streams that are reset with REFUSED_STREAM.
        return cause instanceof GrpcErrorException error
                && error.status() == GrpcStatus.UNAVAILABLE;
    }

    static RequestFailure refused(String agent, Throwable cause) {
        return RequestFailure.notRun(
                        FailureCode.OVERLOADED, "agent " + agent + " has no memory for the request")
                .withCause(cause);
    }

    static RequestFailure broken(String agent, Execution execution, Throwable cause) {
        return RequestFailure.of(
                        FailureCode.UPSTREAM_FAILED,
                        execution,
                        "the connection to agent " + agent + " broke")
                .withCause(cause);
    }

    static void log(RequestId request, AttemptId attempt, String agent, RequestFailure failure) {
        sLogger.atFine()
                .with(LogKeys.REQUEST_ID, request.value())
                .with(LogKeys.ATTEMPT_ID, attempt.value())
                .with(LogKeys.UPSTREAM, agent)
                .with(LogKeys.CODE, failure.code().wireName())
                .withCause(failure.getCause())
                .log("attempt failed: %s", failure.getMessage());
    }
}
