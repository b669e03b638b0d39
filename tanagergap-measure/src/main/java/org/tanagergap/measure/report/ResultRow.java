package org.tanagergap.measure.report;

import java.util.List;

/**
 * The values of one measure over several seeds.
 *
 * @param fleet name of the fleet
 * @param policy name of the policy
 * @param measure what was measured
 * @param target target as text
 * @param values one value for each seed, in the order of the seeds
 * @param met true if every value meets the target
 */
public record ResultRow(
        String fleet,
        String policy,
        String measure,
        String target,
        List<Double> values,
        boolean met) {

    public ResultRow {
        values = List.copyOf(values);
    }

    /** Formats the smallest and largest value, or one value if both are formatted alike. */
    public String range() {
        double low = values.stream().mapToDouble(v -> v).min().orElse(Double.NaN);
        double high = values.stream().mapToDouble(v -> v).max().orElse(Double.NaN);
        String lowText = format(low);
        String highText = format(high);
        return lowText.equals(highText) ? lowText : lowText + " to " + highText;
    }

    private static String format(double value) {
        if (Double.isNaN(value)) {
            return "no value";
        }
        return Math.abs(value) >= 100 ? "%.0f".formatted(value) : "%.3f".formatted(value);
    }
}
