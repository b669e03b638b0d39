package org.tanagergap.measure.fleet;

import org.tanagergap.decisions.scheduling.WorkItem;

/** Computes the engine priority of an attempt; lower values run first. */
@FunctionalInterface
public interface PriorityRule {

    int priorityOf(WorkItem item);
}
