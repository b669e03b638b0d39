package org.tanagergap.standins.keyvalue;

/**
 * Limits of the key-value stand-in.
 *
 * @param readsPerSecond maximum rate of reads and opened watches
 * @param writesPerSecond maximum rate of writes and lease calls
 * @param maxValueBytes maximum size of a value
 */
public record KeyValueLimits(long readsPerSecond, long writesPerSecond, int maxValueBytes) {

    /** The limits that the platform documents. */
    public static KeyValueLimits defaults() {
        return new KeyValueLimits(2_000, 500, 1_000_000);
    }
}
