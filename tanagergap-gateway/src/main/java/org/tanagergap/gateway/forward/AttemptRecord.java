package org.tanagergap.gateway.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.request.AttemptId;

/**
 * One attempt of a request, for its log line.
 *
 * @param id identifier of the attempt
 * @param upstream upstream that it was sent to
 * @param failureDomain failure domain of the upstream
 * @param helpers number of further engines that read parts of the prompt
 * @param startMillis time from the arrival of the request, in ms
 * @param running requests that were known to run there
 * @param predictedMillis predicted time to the first event, in ms
 * @param end how it ended
 */
record AttemptRecord(
        AttemptId id,
        String upstream,
        String failureDomain,
        int helpers,
        long startMillis,
        int running,
        long predictedMillis,
        End end) {

    static final End RUNNING = new End("running", Execution.UNKNOWN, "");

    /**
     * How an attempt ended.
     *
     * @param code {@code ok}, {@code cancelled} or the kind of failure
     * @param execution what is known about execution
     * @param reason explanation of a failure
     */
    record End(String code, Execution execution, String reason) {}

    AttemptRecord withEnd(End newEnd) {
        return new AttemptRecord(
                id,
                upstream,
                failureDomain,
                helpers,
                startMillis,
                running,
                predictedMillis,
                newEnd);
    }

    Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("attempt_id", id.value());
        fields.put("upstream", upstream);
        fields.put("failure_domain", failureDomain);
        fields.put("helpers", helpers);
        fields.put("at_ms", startMillis);
        fields.put("running", running);
        fields.put("predicted_ms", predictedMillis);
        fields.put("code", end.code());
        fields.put("execution", end.execution().wireName());
        fields.put("reason", end.reason());
        return fields;
    }
}
