package org.tanagergap.entry.execution;

/** Result of checking an event of an attempt; all events but accepted ones are dropped. */
enum EventVerdict {
    ACCEPT,
    /** The event carries the identifier of another attempt. */
    CROSSED,
    /** The token was received before. */
    DUPLICATE,
    /** At least one token before this one is missing; the attempt fails. */
    GAP,
    /** The attempt has ended. */
    LATE;

    String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
