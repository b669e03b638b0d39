package org.tanagergap.entry.execution;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.failure.RequestFailure;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.stall.StallDecision;
import org.tanagergap.protocol.v1.Admitted;

/**
 * Fields of one attempt in the log line of its request. Confined to the event loop of the request.
 */
public final class AttemptLogRecord {

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Code of an attempt that is still running when its request ends. */
    private static final String CANCELLED = "cancelled";

    private final Map<String, Object> mFields = new LinkedHashMap<>();
    private int mStalls;

    AttemptLogRecord(
            AttemptId id, String upstream, String failureDomain, OptionalDouble predicted) {
        mFields.put("attempt_id", id.value());
        mFields.put("upstream", upstream);
        mFields.put("failure_domain", failureDomain);
        predicted.ifPresent(
                seconds -> mFields.put("predicted_ms", Math.round(seconds * MILLIS_PER_SECOND)));
        mFields.put("code", CANCELLED);
    }

    /** Copy of the current fields. */
    public Map<String, Object> fields() {
        return new LinkedHashMap<>(mFields);
    }

    void admitted(Admitted admitted) {
        mFields.put("queued_ms", admitted.getQueuedMs());
    }

    /** Records that nothing has arrived for the idle timeout, and what followed from it. */
    void stalled(StallDecision decision) {
        mFields.put("stalls", ++mStalls);
        mFields.put("stall_decision", decision.description());
    }

    void finished(long durationMillis) {
        mFields.put("code", "finished");
        mFields.put("execution", Execution.RAN.wireName());
        mFields.put("duration_ms", durationMillis);
    }

    void failed(RequestFailure failure, long durationMillis) {
        mFields.put("code", failure.code().wireName());
        mFields.put("execution", failure.execution().wireName());
        mFields.put("reason", failure.getMessage());
        mFields.put("duration_ms", durationMillis);
    }
}
