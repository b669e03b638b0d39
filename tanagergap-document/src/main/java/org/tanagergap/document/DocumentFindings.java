package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.tanagergap.api.finding.Findings;

/** Findings of one document, placed by JSON pointer and line. */
final class DocumentFindings {

    private final DocumentSource mSource;
    private final Findings mFindings = new Findings();

    DocumentFindings(DocumentSource source) {
        mSource = source;
    }

    void add(String pointer, String message) {
        mFindings.add(mSource.location(pointer), message);
    }

    void throwIfAny() {
        mFindings.throwIfAny();
    }

    /** Reports each text field of an array's objects whose value an earlier object has. */
    void requireUnique(JsonNode array, String arrayPointer, String field) {
        Map<String, String> firstPointers = new HashMap<>();
        for (int i = 0; i < array.size(); i++) {
            JsonNode value = array.path(i).path(field);
            if (value.isTextual()) {
                reportIfDuplicate(
                        firstPointers, value.textValue(), arrayPointer + "/" + i + "/" + field);
            }
        }
    }

    /** Reports the pointer when the value was seen before; remembers it otherwise. */
    void reportIfDuplicate(Map<String, String> firstPointers, String value, String pointer) {
        String earlier = firstPointers.putIfAbsent(value, pointer);
        if (earlier != null) {
            add(pointer, "\"" + value + "\" is already used at " + earlier);
        }
    }
}
