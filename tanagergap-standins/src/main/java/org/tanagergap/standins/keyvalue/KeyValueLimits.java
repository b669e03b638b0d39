package org.tanagergap.standins.keyvalue;

/**
 * Limits of the stand-in.
 *
 * @param readsPerSecond permitted reads and opened watches
 * @param writesPerSecond permitted writes and lease calls
 * @param maxValueBytes largest value
 */
public record KeyValueLimits(long readsPerSecond, long writesPerSecond, int maxValueBytes) {

    /** The limits that the platform documents. */
    public static KeyValueLimits defaults() {
        return new KeyValueLimits(2_000, 500, 1_000_000);
    }
}
