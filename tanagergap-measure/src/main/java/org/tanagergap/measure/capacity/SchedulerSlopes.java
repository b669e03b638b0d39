package org.tanagergap.measure.capacity;

import java.time.Duration;
import java.util.List;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.decisions.scheduling.FairUpstreamScheduler;
import org.tanagergap.decisions.scheduling.SchedulerSettings;
import org.tanagergap.decisions.scheduling.WorkItem;
import org.tanagergap.testing.PausedClock;

/** Heap of an agent's scheduler by number of queued items, each of a different workspace. */
final class SchedulerSlopes {

    private static final List<Integer> SIZES = List.of(3_000, 6_000, 12_000, 24_000);
    private static final long PROMPT_TOKENS = 2_000;

    private SchedulerSlopes() {}

    static List<Slope> measure() {
        Slope heap = new Slope("heap of the scheduler per queued item and workspace", "bytes");
        for (int size : SIZES) {
            heap.add(size, ResourceMeter.retainedBytes(() -> schedulerWithItems(size)));
        }
        return List.of(heap);
    }

    private static FairUpstreamScheduler schedulerWithItems(int items) {
        PausedClock clock = new PausedClock();
        SchedulerSettings settings = SchedulerSettings.defaults().withQueueLimits(2 * items, items);
        FairUpstreamScheduler scheduler = new FairUpstreamScheduler(clock, settings);
        for (int i = 0; i < items; i++) {
            scheduler.submit(
                    new WorkItem(
                            new AttemptId("entry-001-" + i + ".1"),
                            new PolicyStamp(1, "workspace-" + i, 1, "urgent", 0, 40),
                            new RequestCost(PROMPT_TOKENS, 64),
                            Deadline.after(clock, Duration.ofHours(10))));
        }
        return scheduler;
    }
}
