package org.tanagergap.standins.keyvalue;

/**
 * Condition of a transaction. For an absent key, each number is 0.
 *
 * @param key the key
 * @param target which number of the key is compared
 * @param expected value that the number must equal
 */
public record Comparison(String key, Target target, long expected) {

    /** Numbers of a key that a transaction can compare. */
    public enum Target {
        CREATE,
        MOD,
        VERSION
    }
}
