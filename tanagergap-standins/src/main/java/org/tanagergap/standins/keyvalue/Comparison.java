package org.tanagergap.standins.keyvalue;

/**
 * Condition of a transaction; absent keys have the number 0.
 *
 * @param key the key
 * @param target number of the key that is compared
 * @param expected number that it must equal
 */
public record Comparison(String key, Target target, long expected) {

    /** Number of a key that a transaction can compare. */
    public enum Target {
        CREATE,
        MOD,
        VERSION
    }
}
