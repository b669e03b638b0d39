package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.policy.PolicyStamp;

/** Builds work items for tests. */
record WorkItems(String workspace, int weight, String rank, int priority, int floorPercent) {

    static final WorkItems URGENT = new WorkItems("packing", 1, "urgent", 0, 20);
    static final WorkItems BULK = new WorkItems("archive", 1, "bulk", 9, 10);

    WorkItems ofWorkspace(String otherWorkspace) {
        return new WorkItems(otherWorkspace, weight, rank, priority, floorPercent);
    }

    WorkItems withWeight(int otherWeight) {
        return new WorkItems(workspace, otherWeight, rank, priority, floorPercent);
    }

    WorkItem item(RuntimeClock clock, String id, long prompt, long output, Duration left) {
        return new WorkItem(
                new AttemptId(id),
                new PolicyStamp(1, workspace, weight, rank, priority, floorPercent),
                new RequestCost(prompt, output),
                Deadline.after(clock, left));
    }
}
