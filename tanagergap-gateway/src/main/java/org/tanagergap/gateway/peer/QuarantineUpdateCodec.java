package org.tanagergap.gateway.peer;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagergap.decisions.quarantine.EngineCrash;
import org.tanagergap.decisions.quarantine.QuarantineUpdate;

/**
 * Fields of a peer report for the quarantine of prompts. Empty ones are left out, and peers of
 * earlier versions send none of them.
 */
final class QuarantineUpdateCodec {

    private static final String CRASHES = "crashes";
    private static final String CLEARED = "cleared";
    private static final String QUARANTINED = "quarantined";

    private QuarantineUpdateCodec() {}

    static void encode(QuarantineUpdate update, JsonObject report) {
        JsonArray crashes = new JsonArray();
        for (EngineCrash crash : update.crashes()) {
            crashes.add(
                    new JsonArray()
                            .add(crash.engine())
                            .add(crash.request())
                            .add(crash.age().toMillis())
                            .add(new JsonArray(crash.parts())));
        }
        if (!crashes.isEmpty()) {
            report.put(CRASHES, crashes);
        }
        encode(CLEARED, update.cleared(), report);
        encode(QUARANTINED, update.quarantined(), report);
    }

    private static void encode(String field, Map<String, Duration> times, JsonObject report) {
        if (!times.isEmpty()) {
            JsonObject json = new JsonObject();
            times.forEach((part, time) -> json.put(part, time.toMillis()));
            report.put(field, json);
        }
    }

    /** Throws {@link ClassCastException} or another runtime exception for malformed fields. */
    static QuarantineUpdate decode(JsonObject report) {
        List<EngineCrash> crashes = new ArrayList<>();
        for (Object element : report.getJsonArray(CRASHES, new JsonArray())) {
            JsonArray crash = (JsonArray) element;
            List<String> parts = new ArrayList<>();
            crash.getJsonArray(3).forEach(part -> parts.add((String) part));
            Duration age = PeerNumbers.time(crash.getValue(2));
            crashes.add(new EngineCrash(crash.getString(0), crash.getString(1), parts, age));
        }
        return new QuarantineUpdate(
                crashes, decodeTimes(CLEARED, report), decodeTimes(QUARANTINED, report));
    }

    private static Map<String, Duration> decodeTimes(String field, JsonObject report) {
        Map<String, Duration> times = new HashMap<>();
        for (Map.Entry<String, Object> entry : report.getJsonObject(field, new JsonObject())) {
            times.put(entry.getKey(), PeerNumbers.time(entry.getValue()));
        }
        return times;
    }
}
