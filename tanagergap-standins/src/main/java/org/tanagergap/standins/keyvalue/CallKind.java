package org.tanagergap.standins.keyvalue;

/** Kinds of counted calls; lease calls count as writes. */
enum CallKind {
    READS,
    WRITES,
    WATCHES
}
