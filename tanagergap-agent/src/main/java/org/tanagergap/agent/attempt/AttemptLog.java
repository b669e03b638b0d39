package org.tanagergap.agent.attempt;

import com.google.common.flogger.FluentLogger;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.protocol.v1.RunRequest;
import org.tanagergap.runtime.log.LogKeys;
import org.tanagergap.runtime.metrics.MetricName;

/** Counts the outcome of one attempt and writes its log line. */
final class AttemptLog {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private static final String FINISHED = "finished";

    private final AttemptContext mContext;
    private final RunRequest mRequest;

    AttemptLog(AttemptContext context, RunRequest request) {
        mContext = context;
        mRequest = request;
    }

    void finished(long queuedMillis, long durationMillis) {
        count(FINISHED);
        line(FINISHED, Execution.RAN, queuedMillis, durationMillis).log("attempt finished");
    }

    void failed(RequestFailure failure, long queuedMillis, long durationMillis) {
        String code = failure.code().wireName();
        count(code);
        line(code, failure.execution(), queuedMillis, durationMillis)
                .with(LogKeys.CODE, code)
                .log("attempt failed: %s", failure.getMessage());
    }

    private void count(String outcome) {
        mContext.metrics().counter(MetricName.of("agent_attempts_total", "outcome", outcome)).inc();
    }

    private FluentLogger.Api line(
            String outcome, Execution execution, long queuedMillis, long durationMillis) {
        return sLogger.atInfo()
                .with(LogKeys.REQUEST_ID, mRequest.getRequestId())
                .with(LogKeys.ATTEMPT_ID, mRequest.getAttemptId())
                .with(LogKeys.WORKSPACE, mRequest.getPolicy().getWorkspace())
                .with(LogKeys.UPSTREAM, mContext.upstream())
                .with(LogKeys.FAILURE_DOMAIN, mContext.failureDomain())
                .with(LogKeys.OUTCOME, outcome)
                .with(LogKeys.EXECUTION, execution.wireName())
                .with(LogKeys.QUEUED_MS, queuedMillis)
                .with(LogKeys.DURATION_MS, durationMillis);
    }
}
