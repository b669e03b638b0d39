package org.tanagergap.standins.keyvalue;

/**
 * Range of keys, encoded as in etcd.
 *
 * @param from first key
 * @param to first key after the range; empty for the single key {@code from}, and the character
 *     {@code \0} for all keys from {@code from} on
 */
public record KeyRange(String from, String to) {

    private static final String NO_END = "\0";

    /** Returns true if the key is in the range. */
    public boolean contains(String key) {
        if (to.isEmpty()) {
            return key.equals(from);
        }
        return key.compareTo(from) >= 0 && (to.equals(NO_END) || key.compareTo(to) < 0);
    }
}
