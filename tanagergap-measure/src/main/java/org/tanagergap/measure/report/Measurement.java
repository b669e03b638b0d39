package org.tanagergap.measure.report;

/**
 * One figure of a run.
 *
 * @param measure what was measured
 * @param target target as text, with its unit
 * @param value the figure
 * @param met whether the figure meets the target
 */
public record Measurement(String measure, String target, double value, boolean met) {

    /** Figure that must not exceed a bound. */
    public static Measurement atMost(String measure, double bound, String unit, double value) {
        return new Measurement(
                measure, "at most " + formatBound(bound) + " " + unit, value, value <= bound);
    }

    /** Figure that must reach a bound. */
    public static Measurement atLeast(String measure, double bound, String unit, double value) {
        return new Measurement(
                measure, "at least " + formatBound(bound) + " " + unit, value, value >= bound);
    }

    private static String formatBound(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}
