package org.tanagergap.gateway.forward;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One attempt of a request, for its log line.
 *
 * @param upstream upstream that it was sent to
 * @param startMillis time from the arrival of the request, in ms
 * @param running requests that were known to run there
 * @param predictedMillis predicted time to the first event, in ms
 * @param result how it ended
 */
record AttemptRecord(
        String upstream, long startMillis, int running, long predictedMillis, String result) {

    AttemptRecord withResult(String newResult) {
        return new AttemptRecord(upstream, startMillis, running, predictedMillis, newResult);
    }

    Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("upstream", upstream);
        fields.put("at_ms", startMillis);
        fields.put("running", running);
        fields.put("predicted_ms", predictedMillis);
        fields.put("result", result);
        return fields;
    }
}
