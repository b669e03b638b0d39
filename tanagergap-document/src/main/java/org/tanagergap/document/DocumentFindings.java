package org.tanagergap.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import org.tanagergap.api.finding.Findings;

/** Collects the findings of one document, located by JSON pointer and line. */
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

    /** Reports each text value of the field that an earlier object of the array already uses. */
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

    /** Reports the pointer if the value is already in the map; otherwise adds the value. */
    void reportIfDuplicate(Map<String, String> firstPointers, String value, String pointer) {
        String earlier = firstPointers.putIfAbsent(value, pointer);
        if (earlier != null) {
            add(pointer, "\"" + value + "\" is already used at " + earlier);
        }
    }
}
