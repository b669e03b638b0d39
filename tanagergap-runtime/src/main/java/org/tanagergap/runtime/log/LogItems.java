package org.tanagergap.runtime.log;

import java.util.List;
import java.util.Map;

/**
 * List of objects as a field of a structured log line.
 *
 * @param items fields of each object; values are strings, numbers or booleans
 */
public record LogItems(List<Map<String, Object>> items) {
    public LogItems {
        items = List.copyOf(items);
    }
}
