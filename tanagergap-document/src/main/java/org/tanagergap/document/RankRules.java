package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Rules of ranks. */
final class RankRules {

    private static final int ALL_PERCENT = 100;

    private RankRules() {}

    static void check(JsonNode root, DocumentFindings findings) {
        JsonNode ranks = root.path("ranks");
        findings.requireUnique(ranks, "/ranks", "name");
        Map<String, String> priorities = new HashMap<>();
        long floors = 0;
        for (int i = 0; i < ranks.size(); i++) {
            JsonNode rank = ranks.path(i);
            String pointer = "/ranks/" + i;
            floors += rank.path("floor_percent").asLong();
            JsonNode priority = rank.path("priority");
            if (priority.isNumber()) {
                findings.requireFirst(priorities, priority.asText(), pointer + "/priority");
            }
            JsonNode longest = rank.path("max_deadline_ms");
            JsonNode usual = rank.path("default_deadline_ms");
            if (longest.isNumber() && usual.asLong() > longest.asLong()) {
                findings.add(
                        pointer + "/default_deadline_ms",
                        usual.asLong() + " exceeds max_deadline_ms " + longest.asLong());
            }
        }
        if (floors > ALL_PERCENT) {
            findings.add(
                    "/ranks",
                    "floors of all ranks add up to " + floors + " percent; at most 100 allowed");
        }
    }
}
