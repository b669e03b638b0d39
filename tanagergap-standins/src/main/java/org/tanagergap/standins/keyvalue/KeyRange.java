package org.tanagergap.standins.keyvalue;

/**
 * Keys that a call names, with the conventions of etcd.
 *
 * @param from first key
 * @param to first key after the range; empty for the single key {@code from}, and the character
 *     zero for all keys from {@code from}
 */
public record KeyRange(String from, String to) {

    private static final String NO_END = "\0";

    /** Whether the range contains the key. */
    public boolean contains(String key) {
        if (to.isEmpty()) {
            return key.equals(from);
        }
        return key.compareTo(from) >= 0 && (to.equals(NO_END) || key.compareTo(to) < 0);
    }
}
