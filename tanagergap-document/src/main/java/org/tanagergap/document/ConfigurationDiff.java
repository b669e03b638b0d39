package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Compares documents. Objects of an array are matched by name or key id, so that a different order
 * is not reported. Salts and hashes of keys are replaced by {@link #HIDDEN}.
 */
public final class ConfigurationDiff {

    public static final String HIDDEN = "(hidden)";

    private final List<ConfigurationChange> mChanges = new ArrayList<>();

    private ConfigurationDiff() {}

    /** Returns the differences between two JSON texts, which need not be valid documents. */
    public static List<ConfigurationChange> between(String oldText, String newText) {
        ConfigurationDiff diff = new ConfigurationDiff();
        JsonNode before = DocumentSource.read(oldText).root();
        JsonNode after = DocumentSource.read(newText).root();
        diff.compare("", "", before, after);
        return List.copyOf(diff.mChanges);
    }

    private void compare(String pointer, String subject, JsonNode before, JsonNode after) {
        if (before.equals(after)) {
            return;
        }
        if (before.isObject() && after.isObject()) {
            compareObjects(pointer, subject, before, after);
            return;
        }
        if (before.isArray() && after.isArray()) {
            Optional<Map<String, Integer>> oldNames = positions(before);
            Optional<Map<String, Integer>> newNames = positions(after);
            if (oldNames.isPresent() && newNames.isPresent()) {
                compareNamed(pointer, subject, before, after, oldNames.get(), newNames.get());
                return;
            }
        }
        mChanges.add(new ConfigurationChange(pointer, subject, text(before), text(after)));
    }

    private void compareObjects(String pointer, String subject, JsonNode before, JsonNode after) {
        Set<String> fields = new LinkedHashSet<>();
        before.fieldNames().forEachRemaining(fields::add);
        after.fieldNames().forEachRemaining(fields::add);
        for (String field : fields) {
            String escaped = field.replace("~", "~0").replace("/", "~1");
            String innerSubject = subject.isEmpty() ? field : subject + "." + field;
            if (isSecret(field) && !before.path(field).equals(after.path(field))) {
                mChanges.add(
                        new ConfigurationChange(
                                pointer + "/" + escaped,
                                innerSubject,
                                hidden(before.path(field)),
                                hidden(after.path(field))));
            } else {
                compare(
                        pointer + "/" + escaped,
                        innerSubject,
                        before.path(field),
                        after.path(field));
            }
        }
    }

    private void compareNamed(
            String pointer,
            String subject,
            JsonNode before,
            JsonNode after,
            Map<String, Integer> oldPositions,
            Map<String, Integer> newPositions) {
        Set<String> names = new LinkedHashSet<>(oldPositions.keySet());
        names.addAll(newPositions.keySet());
        for (String name : names) {
            int oldPosition = oldPositions.getOrDefault(name, -1);
            int newPosition = newPositions.getOrDefault(name, -1);
            compare(
                    pointer + "/" + (newPosition < 0 ? oldPosition : newPosition),
                    subject + "[" + name + "]",
                    before.path(oldPosition),
                    after.path(newPosition));
        }
    }

    /** Positions by name; empty when an element has no name or a duplicate one. */
    private static Optional<Map<String, Integer>> positions(JsonNode array) {
        Map<String, Integer> positions = new LinkedHashMap<>();
        for (int i = 0; i < array.size(); i++) {
            JsonNode element = array.path(i);
            JsonNode name = element.has("name") ? element.path("name") : element.path("id");
            if (!name.isTextual() || positions.put(name.textValue(), i) != null) {
                return Optional.empty();
            }
        }
        return Optional.of(positions);
    }

    private static Optional<String> text(JsonNode node) {
        return node.isMissingNode()
                ? Optional.empty()
                : Optional.of(hideSecrets(node.deepCopy()).toString());
    }

    private static Optional<String> hidden(JsonNode node) {
        return node.isMissingNode() ? Optional.empty() : Optional.of('"' + HIDDEN + '"');
    }

    private static JsonNode hideSecrets(JsonNode node) {
        if (node instanceof ObjectNode object) {
            for (Iterator<String> names = object.deepCopy().fieldNames(); names.hasNext(); ) {
                String field = names.next();
                if (isSecret(field)) {
                    object.put(field, HIDDEN);
                }
            }
        }
        node.forEach(ConfigurationDiff::hideSecrets);
        return node;
    }

    private static boolean isSecret(String field) {
        return field.equals("salt") || field.equals("hash");
    }
}
