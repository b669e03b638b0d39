package org.tanagergap.gateway.peer;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
import org.tanagergap.decisions.fleet.FleetSlowness.Evidence;

/**
 * Field of a peer report for slow upstreams: weight and slowness in hundredths. It is left out if
 * there are none.
 */
final class SlownessCodec {

    private static final String SLOWNESS = "slowness";
    private static final double STEPS = 100;

    private SlownessCodec() {}

    static void encode(Map<String, Evidence> slowness, JsonObject report) {
        if (slowness.isEmpty()) {
            return;
        }
        JsonObject upstreams = new JsonObject();
        slowness.forEach(
                (upstream, evidence) ->
                        upstreams.put(
                                upstream,
                                new JsonArray()
                                        .add(Math.round(evidence.weight() * STEPS))
                                        .add(Math.round(evidence.slowness() * STEPS))));
        report.put(SLOWNESS, upstreams);
    }

    /** Throws {@link ClassCastException} or another runtime exception for malformed fields. */
    static Map<String, Evidence> decode(JsonObject report) {
        Map<String, Evidence> slowness = new HashMap<>();
        for (Map.Entry<String, Object> entry : report.getJsonObject(SLOWNESS, new JsonObject())) {
            JsonArray fields = (JsonArray) entry.getValue();
            double weight = PeerNumbers.count(fields.getValue(0)) / STEPS;
            double value = PeerNumbers.count(fields.getValue(1)) / STEPS;
            slowness.put(entry.getKey(), new Evidence(weight, value));
        }
        return slowness;
    }
}
