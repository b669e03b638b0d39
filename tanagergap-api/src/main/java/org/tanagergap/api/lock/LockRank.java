package org.tanagergap.api.lock;

/** Order in which a thread acquires the locks of shared tables, lowest first. */
public enum LockRank {
    CONFIGURATION_VIEW,
    MEMBERSHIP_TABLE,
    ATTEMPT_TABLE,
    FAIR_QUEUE,
    MEMORY_LEDGER,
    HINT_TABLE,
    RETRY_BUDGET
}
