package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.policy.PolicyStamp;

/** Builds work items for tests. */
record Work(String workspace, int weight, String rank, int priority, int floorPercent) {

    static final Work URGENT = new Work("packing", 1, "urgent", 0, 20);
    static final Work BULK = new Work("archive", 1, "bulk", 9, 10);

    Work of(String otherWorkspace) {
        return new Work(otherWorkspace, weight, rank, priority, floorPercent);
    }

    Work weighing(int otherWeight) {
        return new Work(workspace, otherWeight, rank, priority, floorPercent);
    }

    WorkItem item(RuntimeClock clock, String id, long prompt, long output, Duration left) {
        return new WorkItem(
                new AttemptId(id),
                new PolicyStamp(1, workspace, weight, rank, priority, floorPercent),
                new RequestCost(prompt, output),
                Deadline.after(clock, left));
    }
}
