package org.tanagergap.measure.report;

/**
 * A value measured in a run, compared with its target.
 *
 * @param measure what was measured
 * @param target target as text, with its unit
 * @param value measured value
 * @param met true if the value meets the target
 */
public record Measurement(String measure, String target, double value, boolean met) {

    /** Creates a measurement whose value must not exceed the bound. */
    public static Measurement atMost(String measure, double bound, String unit, double value) {
        return new Measurement(
                measure, "at most " + formatBound(bound) + " " + unit, value, value <= bound);
    }

    /** Creates a measurement whose value must reach the bound. */
    public static Measurement atLeast(String measure, double bound, String unit, double value) {
        return new Measurement(
                measure, "at least " + formatBound(bound) + " " + unit, value, value >= bound);
    }

    private static String formatBound(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
