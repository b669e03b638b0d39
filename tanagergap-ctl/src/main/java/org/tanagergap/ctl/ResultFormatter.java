package org.tanagergap.ctl;

import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.document.ConfigurationChange;

/** Formats results that several commands print as JSON or text. */
final class ResultFormatter {

    private ResultFormatter() {}

    static JsonObject findings(List<Finding> findings) {
        JsonArray array = new JsonArray();
        findings.forEach(
                finding ->
                        array.add(
                                new JsonObject()
                                        .put("place", finding.location())
                                        .put("message", finding.message())));
        return new JsonObject().put("result", "invalid").put("findings", array);
    }

    static JsonArray changes(List<ConfigurationChange> changes) {
        JsonArray array = new JsonArray();
        for (ConfigurationChange change : changes) {
            array.add(
                    new JsonObject()
                            .put("pointer", change.pointer())
                            .put("subject", change.subject())
                            .put("old", value(change.oldValue()))
                            .put("new", value(change.newValue())));
        }
        return array;
    }

    static String changesText(List<ConfigurationChange> changes) {
        return changes.isEmpty()
                ? "no difference"
                : changes.stream()
                        .map(ConfigurationChange::toString)
                        .collect(Collectors.joining(System.lineSeparator()));
    }

    private static Object value(Optional<String> json) {
        return json.map(Json::decodeValue).orElse(null);
    }
}
