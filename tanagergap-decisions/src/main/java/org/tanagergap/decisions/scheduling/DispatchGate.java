package org.tanagergap.decisions.scheduling;

/** Decides whether the item whose turn it is can start now. */
@FunctionalInterface
interface DispatchGate {

    /**
     * Whether the item can start.
     *
     * @param mayAccumulate whether memory may accrue to the item; only the rank whose turn it is
     *     may claim, because a claim of a later rank would take memory from more urgent work
     */
    boolean canStart(QueuedItem queued, boolean mayAccumulate);
}
