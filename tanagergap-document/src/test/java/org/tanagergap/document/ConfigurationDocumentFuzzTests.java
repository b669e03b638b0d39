package org.tanagergap.document;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.tanagergap.api.finding.InvalidInputException;

class ConfigurationDocumentFuzzTests {

    private static final List<String> VALUES =
            List.of("null", "{}", "[]", "-1", "1e30", "9223372036854775807", "\"\"", "[[1]]");
    private static final ObjectMapper sMapper = new ObjectMapper();

    /**
     * Guards against rules that fail on a value of an unexpected type; rules also run on documents
     * that violate the schema.
     */
    @Property(tries = 500)
    void replacedValuesCauseFindingsAndNoOtherException(@ForAll long seed)
            throws JsonProcessingException {
        Random random = new Random(seed);
        JsonNode root = sMapper.readTree(ConfigurationDocumentTests.example("local"));
        for (int i = 0; i <= random.nextInt(3); i++) {
            replaceOne(root, random);
        }
        try {
            ConfigurationDocument.parse(root.toString(), 1);
        } catch (InvalidInputException e) {
            assertThat(e.findings()).isNotEmpty();
        }
        assertThat(ConfigurationDiff.between(root.toString(), root.toString())).isEmpty();
    }

    private static void replaceOne(JsonNode root, Random random) throws JsonProcessingException {
        List<JsonNode> parents = new ArrayList<>(root.findParents("name"));
        parents.add(root);
        root.forEach(parents::add);
        JsonNode parent = parents.get(random.nextInt(parents.size()));
        JsonNode value = sMapper.readTree(VALUES.get(random.nextInt(VALUES.size())));
        int position = parent.isEmpty() ? 0 : random.nextInt(parent.size());
        if (parent instanceof ArrayNode array && !array.isEmpty()) {
            array.set(position, value);
        } else if (parent instanceof ObjectNode object && !object.isEmpty()) {
            List<String> fields = new ArrayList<>();
            object.fieldNames().forEachRemaining(fields::add);
            object.set(fields.get(position), value);
        }
    }
}
