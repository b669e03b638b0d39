package org.tanagergap.runtime.json;

import java.util.OptionalLong;

/**
 * Reads numbers of decoded JSON without the silent conversions of {@link Number}: {@code longValue}
 * turns 1e400 into the greatest long and drops the high bits of a big integer.
 */
public final class JsonNumbers {

    /** Doubles above this do not represent every whole number. */
    private static final double MAX_EXACT_DOUBLE = 1L << 53;

    private JsonNumbers() {}

    /** Returns the value if it is a whole number within the bounds, both inclusive. */
    public static OptionalLong whole(Object value, long min, long max) {
        long number;
        if (value instanceof Integer || value instanceof Long) {
            number = ((Number) value).longValue();
        } else if (value instanceof Double d
                && d == Math.rint(d)
                && Math.abs(d) <= MAX_EXACT_DOUBLE) {
            number = d.longValue();
        } else {
            return OptionalLong.empty();
        }
        return number >= min && number <= max ? OptionalLong.of(number) : OptionalLong.empty();
    }
}
