package org.tanagergap.runtime.log;

import java.util.List;
import java.util.Map;

/**
 * List of objects in a structured log line.
 *
 * @param items fields of each object, with texts, numbers and booleans as values
 */
public record LogItems(List<Map<String, Object>> items) {
    public LogItems {
        items = List.copyOf(items);
    }
}
