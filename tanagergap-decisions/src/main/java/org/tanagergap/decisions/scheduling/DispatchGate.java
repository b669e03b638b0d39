package org.tanagergap.decisions.scheduling;

/** Decides whether the item whose turn it is can start now. */
@FunctionalInterface
interface DispatchGate {

    boolean canStart(QueuedWork work);
}
