package org.tanagergap.decisions.scheduling;

/** Decides whether the next item in fair order can start now. */
@FunctionalInterface
interface DispatchGate {

    /**
     * Returns true if the item can start.
     *
     * @param mayAccumulate true if memory may accumulate for the item. Only the first rank in order
     *     may get a pending reservation, because one of a later rank would take memory from more
     *     urgent work
     */
    boolean canStart(QueuedItem queued, boolean mayAccumulate);
}
