package org.tanagergap.platform.keyvalue;

import java.util.OptionalLong;

/** Write operation of a transaction. */
public sealed interface Write {

    /** Sets the value of a key, under a lease if one is given. */
    record Put(String key, String value, OptionalLong leaseId) implements Write {

        public Put(String key, String value) {
            this(key, value, OptionalLong.empty());
        }
    }

    /** Deletes the keys in {@code [from, to)}. */
    record DeleteRange(String from, String to) implements Write {}
}
