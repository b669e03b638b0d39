package org.tanagergap.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagergap.api.finding.Finding;
import org.tanagergap.api.finding.InvalidInputException;

/** Parsed JSON text with the line number of each value. */
final class DocumentSource {

    /** Comparing calls itself for each level: 500 levels overflowed a stack of 256 KiB. */
    private static final int MAX_NESTING = 64;

    private static final JsonMapper sMapper =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_NESTING)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private final JsonNode mRoot;
    private final Map<String, Integer> mLines;

    private DocumentSource(JsonNode root, Map<String, Integer> lines) {
        mRoot = root;
        mLines = lines;
    }

    /** Parses the text. A syntax error is the only finding, as the rest cannot be parsed. */
    static DocumentSource read(String text) {
        try {
            JsonNode root = sMapper.readTree(text);
            if (root.isMissingNode()) {
                throw new InvalidInputException(
                        List.of(new Finding(location("", 1), "is empty; expected a JSON object")));
            }
            return new DocumentSource(root, lines(text));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new InvalidInputException(
                    List.of(
                            new Finding(
                                    location("", line),
                                    "is not valid JSON: " + e.getOriginalMessage())));
        } catch (IOException e) {
            throw new UncheckedIOException("reading the JSON text from memory failed", e);
        }
    }

    JsonNode root() {
        return mRoot;
    }

    /** Pointer with its line; an absent value has the line of the enclosing object. */
    String location(String pointer) {
        String present = pointer;
        while (!mLines.containsKey(present) && !present.isEmpty()) {
            present = present.substring(0, present.lastIndexOf('/'));
        }
        return location(pointer, mLines.getOrDefault(present, 1));
    }

    private static String location(String pointer, int line) {
        return (pointer.isEmpty() ? "(document)" : pointer) + " (line " + line + ")";
    }

    private static Map<String, Integer> lines(String text) throws IOException {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = sMapper.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token.isStructStart() || token.isScalarValue()) {
                    String pointer = parser.getParsingContext().pathAsPointer().toString();
                    lines.put(pointer, parser.currentTokenLocation().getLineNr());
                }
            }
        }
        return lines;
    }
}
