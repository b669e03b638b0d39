package org.tanagergap.gateway.peer;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.tanagergap.decisions.ratelimit.RateLimitObservation;

/**
 * Field of a peer report for the rate limits of upstreams: the age in ms and, unless the limit has
 * ended, the requests per second. It is left out if there are none.
 */
final class RateLimitCodec {

    private static final String LIMITS = "rate_limits";

    private RateLimitCodec() {}

    static void encode(Map<String, RateLimitObservation> observations, JsonObject report) {
        if (observations.isEmpty()) {
            return;
        }
        JsonObject limits = new JsonObject();
        observations.forEach(
                (upstream, observation) -> {
                    JsonArray fields = new JsonArray().add(observation.age().toMillis());
                    observation.requestsPerSecond().ifPresent(fields::add);
                    limits.put(upstream, fields);
                });
        report.put(LIMITS, limits);
    }

    /** Throws {@link ClassCastException} or another runtime exception for malformed fields. */
    static Map<String, RateLimitObservation> decode(JsonObject report) {
        Map<String, RateLimitObservation> observations = new HashMap<>();
        for (Map.Entry<String, Object> entry : report.getJsonObject(LIMITS, new JsonObject())) {
            JsonArray fields = (JsonArray) entry.getValue();
            OptionalDouble limit =
                    fields.size() > 1
                            ? OptionalDouble.of(PeerNumbers.rate(fields.getValue(1)))
                            : OptionalDouble.empty();
            observations.put(
                    entry.getKey(),
                    new RateLimitObservation(limit, PeerNumbers.time(fields.getValue(0))));
        }
        return observations;
    }
}
