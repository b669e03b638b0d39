package org.tanagergap.standins.keyvalue;

/** Kinds of calls that are counted; lease calls count as writes. */
enum CallKind {
    READS,
    WRITES,
    WATCHES
}
