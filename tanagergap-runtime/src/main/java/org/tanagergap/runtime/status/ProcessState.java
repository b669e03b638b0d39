package org.tanagergap.runtime.status;

/** State of a process with respect to a version of the configuration. */
public enum ProcessState {
    IN_EFFECT,
    /** An older version is in effect. */
    BEHIND,
    /** The process accepted the connection but did not respond in time. */
    FROZEN,
    /** No connection could be established, or the connection failed. */
    UNREACHABLE,
    /** The response was not the status of a process with a configuration. */
    INVALID
}
