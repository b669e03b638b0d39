package org.tanagergap.runtime.status;

/** Whether a version of the configuration is in effect in one process. */
public enum ProcessState {
    IN_EFFECT,
    /** The process has an older version. */
    BEHIND,
    /** The process accepted the connection and did not answer in time. */
    FROZEN,
    /** No connection could be made, or it broke. */
    UNREACHABLE,
    /** The answer was not the status of a process with a configuration. */
    INVALID
}
