package org.tanagergap.runtime.metrics;

import java.util.Objects;

/** Builds metric names that contain labels, because Dropwizard Metrics does not support labels. */
public final class MetricName {

    private MetricName() {}

    /**
     * Builds a name with labels.
     *
     * @param base name without labels; words are separated by underscores
     * @param labels alternating label names and values
     */
    public static String of(String base, String... labels) {
        Objects.requireNonNull(base, "base must not be null");
        if (labels.length % 2 != 0) {
            throw new IllegalArgumentException("labels of " + base + " must be name-value pairs");
        }
        StringBuilder name = new StringBuilder(base);
        for (int i = 0; i < labels.length; i += 2) {
            name.append(i == 0 ? '{' : ',')
                    .append(labels[i])
                    .append('=')
                    .append(sanitize(labels[i + 1]));
        }
        return labels.length == 0 ? base : name.append('}').toString();
    }

    private static String sanitize(String value) {
        return value.replaceAll("[{},=]", "_");
    }
}
