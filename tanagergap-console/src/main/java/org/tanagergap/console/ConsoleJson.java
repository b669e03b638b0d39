package org.tanagergap.console;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.Json;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.tanagergap.api.configuration.Configuration;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.document.ConfigurationChange;
import org.tanagergap.document.ConfigurationDocument;
import org.tanagergap.state.configuration.StoredConfiguration;

/** Converts results to the JSON that the console sends to browsers. */
final class ConsoleJson {

    /** Line number after a JSON pointer; removed, because the forms locate fields by pointer. */
    private static final Pattern LINE_SUFFIX = Pattern.compile(" \\(line \\d+\\)$");

    private ConsoleJson() {}

    static JsonObject findings(List<Finding> findings) {
        JsonArray array = new JsonArray();
        for (Finding finding : findings) {
            String pointer = LINE_SUFFIX.matcher(finding.location()).replaceFirst("");
            array.add(
                    new JsonObject()
                            .put("pointer", pointer.startsWith("/") ? pointer : "")
                            .put("message", finding.message()));
        }
        return new JsonObject()
                .put("result", findings.isEmpty() ? "valid" : "invalid")
                .put("findings", array);
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

    /** Returns the accepted document; empty if the stored text is not a JSON object. */
    static Optional<JsonObject> document(StoredConfiguration stored) {
        try {
            return Optional.of(new JsonObject(stored.document()));
        } catch (DecodeException e) {
            return Optional.empty();
        }
    }

    /** Returns the accepted document, or an empty one if there is none that can be read. */
    static JsonObject accepted(Optional<StoredConfiguration> current) {
        return current.flatMap(ConsoleJson::document)
                .orElseGet(() -> new JsonObject(ConfigurationDocument.write(Configuration.EMPTY)));
    }

    static long version(Optional<StoredConfiguration> current) {
        return current.map(StoredConfiguration::version).orElse(0L);
    }

    private static Object value(Optional<String> json) {
        return json.map(Json::decodeValue).orElse(null);
    }
}
