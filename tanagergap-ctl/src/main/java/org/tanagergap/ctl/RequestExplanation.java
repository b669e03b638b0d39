package org.tanagergap.ctl;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.tanagergap.runtime.json.JsonNumbers;

/** Combines the log lines of the entry and the agents about one request, in attempt order. */
final class RequestExplanation {

    private static final String REQUEST_ID = "request_id";
    private static final String GATEWAY = "tanagergap-gateway";
    private static final String ATTEMPT_ID = "attempt_id";
    private static final List<String> REQUEST_FIELDS =
            List.of(REQUEST_ID, "entry", "workspace", "rank", "service", "tokens");
    private static final List<String> OUTCOME_FIELDS =
            List.of(
                    "time",
                    "code",
                    "execution",
                    "field",
                    "message",
                    "attempts",
                    "first_token_ms",
                    "duration_ms");

    private final String mRequestId;
    private final Map<String, JsonObject> mAgentLines = new LinkedHashMap<>();
    private Optional<JsonObject> mEntryLine = Optional.empty();

    RequestExplanation(String requestId) {
        mRequestId = requestId;
    }

    /** Adds a log line; lines of other requests and text that is not JSON are ignored. */
    void add(String line) {
        // Skips the JSON parsing of most lines, which concern other requests.
        if (!line.contains(mRequestId)) {
            return;
        }
        JsonObject json;
        try {
            json = new JsonObject(line);
        } catch (DecodeException e) {
            return;
        }
        if (!mRequestId.equals(json.getValue(REQUEST_ID))) {
            return;
        }
        if (json.getValue("tried") instanceof JsonArray) {
            mEntryLine = Optional.of(json);
        } else if (json.containsKey("outcome") && json.containsKey(ATTEMPT_ID)) {
            mAgentLines.put(text(json, ATTEMPT_ID), json);
        }
    }

    boolean isEmpty() {
        return mEntryLine.isEmpty() && mAgentLines.isEmpty();
    }

    JsonObject toJson() {
        JsonObject json = new JsonObject().put(REQUEST_ID, mRequestId);
        mEntryLine.ifPresent(line -> json.mergeIn(select(line, REQUEST_FIELDS)));
        json.put("attempts", new JsonArray(attempts()));
        mEntryLine.ifPresent(line -> json.put("outcome", select(line, OUTCOME_FIELDS)));
        return json;
    }

    String toText() {
        List<String> lines = new ArrayList<>();
        lines.add("request " + mRequestId);
        mEntryLine.ifPresentOrElse(
                line -> lines.add("  " + requestText(line)),
                () -> lines.add("  the logs have no line of the entry"));
        List<JsonObject> attempts = attempts();
        for (int i = 0; i < attempts.size(); i++) {
            lines.addAll(attemptText(i + 1, attempts.get(i), throughAgents()));
        }
        if (attempts.isEmpty()) {
            lines.add("  no attempt: the entry answered by itself");
        }
        mEntryLine.ifPresent(line -> lines.add("  outcome: " + outcomeText(line)));
        return String.join(System.lineSeparator(), lines);
    }

    /** Returns the attempts of the entry's line, each with its agent's line, then all others. */
    private List<JsonObject> attempts() {
        List<JsonObject> attempts = new ArrayList<>();
        Map<String, JsonObject> agents = new LinkedHashMap<>(mAgentLines);
        mEntryLine.ifPresent(
                line -> {
                    for (Object item : line.getJsonArray("tried")) {
                        if (item instanceof JsonObject attempt) {
                            JsonObject agent = agents.remove(text(attempt, ATTEMPT_ID));
                            attempts.add(
                                    agent == null ? attempt : attempt.copy().put("agent", agent));
                        }
                    }
                });
        agents.values().stream()
                .sorted(Comparator.comparing(line -> text(line, "time")))
                .forEach(
                        line ->
                                attempts.add(
                                        select(
                                                        line,
                                                        List.of(
                                                                ATTEMPT_ID,
                                                                "upstream",
                                                                "failure_domain"))
                                                .put("agent", line)));
        return attempts;
    }

    private static String requestText(JsonObject line) {
        if (text(line, "workspace").isEmpty()) {
            return "entry " + text(line, "entry") + ", caller not identified";
        }
        return "entry "
                + text(line, "entry")
                + ", workspace "
                + text(line, "workspace")
                + ", rank "
                + text(line, "rank")
                + (line.containsKey("service") ? ", service " + text(line, "service") : "")
                + (JsonNumbers.whole(line.getValue("tokens"), 1, Long.MAX_VALUE).isPresent()
                        ? ", about " + text(line, "tokens") + " tokens"
                        : "");
    }

    /** Returns true if attempts go through agents; a gateway calls upstreams directly. */
    private boolean throughAgents() {
        return mEntryLine.map(line -> !text(line, "program").equals(GATEWAY)).orElse(true);
    }

    private static List<String> attemptText(int number, JsonObject attempt, boolean throughAgents) {
        List<String> lines = new ArrayList<>();
        String domain = text(attempt, "failure_domain");
        lines.add(
                "  attempt "
                        + number
                        + " at "
                        + text(attempt, "upstream")
                        + (domain.isEmpty() ? "" : " in " + domain)
                        + (attempt.containsKey("predicted_ms")
                                ? ", first token predicted after " + millis(attempt, "predicted_ms")
                                : ""));
        if (attempt.containsKey("code")) {
            lines.add("    entry: " + resultText(attempt, "code", "reason"));
        }
        if (!throughAgents) {
            return lines;
        }
        lines.add(
                attempt.getValue("agent") instanceof JsonObject agent
                        ? "    agent: " + resultText(agent, "outcome", "message")
                        : "    agent: no line in the logs");
        return lines;
    }

    private static String resultText(JsonObject line, String codeField, String reasonField) {
        StringBuilder text = new StringBuilder(text(line, codeField));
        if (line.containsKey("execution")) {
            text.append(", ").append(text(line, "execution"));
        }
        if (line.containsKey("queued_ms")) {
            text.append(", queued ").append(millis(line, "queued_ms"));
        }
        if (line.containsKey("duration_ms")) {
            text.append(", ended after ").append(millis(line, "duration_ms"));
        }
        boolean failed = !text(line, codeField).equals("finished");
        return failed && line.containsKey(reasonField)
                ? text.append(": ").append(text(line, reasonField)).toString()
                : text.toString();
    }

    private static String outcomeText(JsonObject line) {
        return text(line, "code")
                + ", "
                + text(line, "execution")
                + (line.containsKey("first_token_ms")
                        ? ", first token after " + millis(line, "first_token_ms")
                        : "")
                + ", ended after "
                + millis(line, "duration_ms")
                + (line.containsKey("field") ? ", field " + text(line, "field") : "")
                + (text(line, "code").equals("ok") ? "" : ": " + text(line, "message"));
    }

    private static String millis(JsonObject json, String name) {
        return text(json, name) + " ms";
    }

    private static String text(JsonObject json, String name) {
        Object value = json.getValue(name);
        return value == null ? "" : value.toString();
    }

    private static JsonObject select(JsonObject line, List<String> names) {
        JsonObject selected = new JsonObject();
        names.stream()
                .filter(line::containsKey)
                .forEach(name -> selected.put(name, line.getValue(name)));
        return selected;
    }
}
