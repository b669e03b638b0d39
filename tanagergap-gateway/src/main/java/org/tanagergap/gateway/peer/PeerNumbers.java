package org.tanagergap.gateway.peer;

import java.math.BigInteger;
import java.time.Duration;

/**
 * Checks the numbers of messages between instances. All methods throw {@link
 * IllegalArgumentException} for values out of range and {@link ClassCastException} or {@link
 * NullPointerException} for values that are no numbers.
 */
final class PeerNumbers {

    /** Sums over a fleet stay in the range of an int. */
    private static final long MAX_COUNT = 1_000_000;

    /** Sums over a fleet stay in the range of a long. */
    private static final long MAX_AMOUNT = 1_000_000_000_000_000L;

    private static final Duration MAX_TIME = Duration.ofDays(30);

    private PeerNumbers() {}

    /** Number of requests or permits. */
    static int count(Object value) {
        return (int) whole(value, 0, MAX_COUNT);
    }

    /** Amount of work or memory; one out of range becomes the nearest one in the range. */
    static long amount(Object value) {
        long amount = whole(value, Long.MIN_VALUE, Long.MAX_VALUE);
        return Math.max(-MAX_AMOUNT, Math.min(MAX_AMOUNT, amount));
    }

    /** Number of requests per second. */
    static double rate(Object value) {
        double rate = ((Number) value).doubleValue();
        if (rate >= 0 && rate <= MAX_AMOUNT) {
            return rate;
        }
        throw new IllegalArgumentException("rate is not from 0 to " + MAX_AMOUNT + ": " + rate);
    }

    /** Number of an epoch or a revision of the store. */
    static long position(Object value) {
        return whole(value, 0, Long.MAX_VALUE);
    }

    /** Age or remaining time in ms, whose nanoseconds are in the range of a long. */
    static long millis(Object value) {
        return whole(value, -MAX_TIME.toMillis(), MAX_TIME.toMillis());
    }

    static Duration time(Object value) {
        return Duration.ofMillis(millis(value));
    }

    private static long whole(Object value, long min, long max) {
        Number number = (Number) value;
        boolean fits = !(number instanceof BigInteger) && !(number instanceof Double);
        if (!fits || number.longValue() < min || number.longValue() > max) {
            throw new IllegalArgumentException(
                    "number is not whole from " + min + " to " + max + ": " + number);
        }
        return number.longValue();
    }
}
