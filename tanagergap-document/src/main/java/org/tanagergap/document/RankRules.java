package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;

/** Validates priorities, floors and deadlines of ranks. */
final class RankRules {

    private static final int MAX_FLOOR_SUM_PERCENT = 100;

    private RankRules() {}

    static void check(JsonNode root, DocumentFindings findings) {
        JsonNode ranks = root.path("ranks");
        findings.requireUnique(ranks, "/ranks", "name");
        Map<String, String> priorities = new HashMap<>();
        long floorSum = 0;
        for (int i = 0; i < ranks.size(); i++) {
            JsonNode rank = ranks.path(i);
            String pointer = "/ranks/" + i;
            floorSum += rank.path("floor_percent").asLong();
            JsonNode priority = rank.path("priority");
            if (priority.isNumber()) {
                findings.reportIfDuplicate(priorities, priority.asText(), pointer + "/priority");
            }
            JsonNode maxDeadline = rank.path("max_deadline_ms");
            JsonNode defaultDeadline = rank.path("default_deadline_ms");
            if (maxDeadline.isNumber() && defaultDeadline.asLong() > maxDeadline.asLong()) {
                findings.add(
                        pointer + "/default_deadline_ms",
                        defaultDeadline.asLong()
                                + " exceeds max_deadline_ms "
                                + maxDeadline.asLong());
            }
        }
        if (floorSum > MAX_FLOOR_SUM_PERCENT) {
            findings.add(
                    "/ranks",
                    "floors of all ranks add up to " + floorSum + " percent; at most 100 allowed");
        }
    }
}
