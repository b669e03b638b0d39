package org.tanagergap.api.time;

/** Handle of a scheduled task. */
@FunctionalInterface
public interface Timer {

    /** Cancels the task; has no effect when the task has run or was cancelled before. */
    void cancel();
}
