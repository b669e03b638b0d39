package org.tanagergap.gateway.forward;

import java.util.LinkedHashMap;
import java.util.Map;
import org.tanagergap.api.failure.Execution;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.decisions.fleet.Placement;
import org.tanagergap.gateway.caller.GatewayRequest;
import org.tanagergap.gateway.membership.Upstream;

/**
 * Attempt of a request, as written to the log line of the request.
 *
 * @param id identifier of the attempt
 * @param upstream upstream that it was sent to
 * @param failureDomain failure domain of the upstream
 * @param helpers number of helper engines that prefill parts of the prompt
 * @param startMillis time from the arrival of the request, in ms
 * @param running requests in flight at the upstream, as reported by all instances
 * @param predictedMillis predicted time to the first event, in ms
 * @param end result of the attempt
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

    private static final End RUNNING = new End("running", Execution.UNKNOWN, "");
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Result of an attempt.
     *
     * @param code {@code ok}, {@code cancelled}, {@code status_} with the status, or the kind of
     *     failure
     * @param execution whether the upstream has run the request, as far as known
     * @param reason explanation of a failure
     */
    record End(String code, Execution execution, String reason) {}

    /** Describes an attempt that starts at the given time. */
    static AttemptRecord started(
            ForwardingContext context,
            GatewayRequest request,
            AttemptId id,
            Placement placement,
            long nowNanos) {
        String upstream = placement.upstream();
        return new AttemptRecord(
                id,
                upstream,
                context.view().upstream(upstream).map(Upstream::failureDomain).orElse(""),
                placement.helpers().size(),
                (nowNanos - request.arrivalNanos()) / NANOS_PER_MILLI,
                context.load().totalLoad(upstream, nowNanos).running(),
                Math.round(placement.firstTokenMillis()),
                RUNNING);
    }

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
