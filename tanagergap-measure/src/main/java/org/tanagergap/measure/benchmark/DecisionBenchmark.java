package org.tanagergap.measure.benchmark;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;
import org.tanagergap.api.request.AttemptId;
import org.tanagergap.api.request.RequestCost;
import org.tanagergap.api.time.Deadline;
import org.tanagergap.decisions.policy.PolicyStamp;
import org.tanagergap.decisions.scheduling.FairUpstreamScheduler;
import org.tanagergap.decisions.scheduling.SchedulerSettings;
import org.tanagergap.decisions.scheduling.WorkItem;
import org.tanagergap.testing.PausedClock;

/** Cost of submitting an item to a scheduler with one queued item per workspace. */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 4, time = 2)
@Measurement(iterations = 4, time = 3)
@Fork(1)
public class DecisionBenchmark {

    private static final long PROMPT_TOKENS = 1_000;
    private static final long OUTPUT_TOKENS = 64;
    private static final int[] FLOORS = {40, 30, 10};
    private static final Duration DEADLINE = Duration.ofDays(100);

    /** Prefill time of one prompt; matches the scheduler's initial prefill rate. */
    private static final Duration PREFILL_DURATION = Duration.ofMillis(50);

    @Param({"12000", "24000", "48000"})
    int mWorkspaces;

    private PausedClock mClock;
    private FairUpstreamScheduler mScheduler;
    private Deque<WorkItem> mRunning;
    private WorkItem mNextItem;
    private List<WorkItem> mDispatched;
    private long mSequence;

    /** Submits one item per workspace. */
    @Setup(Level.Trial)
    public void queueItems() {
        mClock = new PausedClock();
        mRunning = new ArrayDeque<>();
        SchedulerSettings settings =
                SchedulerSettings.defaults().withQueueLimits(2 * mWorkspaces, mWorkspaces);
        mScheduler = new FairUpstreamScheduler(mClock, settings);
        for (int i = 0; i < mWorkspaces; i++) {
            mScheduler.submit(createItem());
        }
        mRunning.addAll(mScheduler.takeDispatchable());
    }

    @Setup(Level.Invocation)
    public void createNextItem() {
        mNextItem = createItem();
    }

    /** Measures one submission and the dispatch after it. */
    @Benchmark
    public List<WorkItem> submitAndDispatch() {
        mScheduler.submit(mNextItem);
        mDispatched = mScheduler.takeDispatchable();
        return mDispatched;
    }

    /** Finishes one prompt, which frees capacity for the next dispatch. */
    @TearDown(Level.Invocation)
    public void finishPrompt() {
        mRunning.addAll(mDispatched);
        mClock.advance(PREFILL_DURATION);
        WorkItem finished = mRunning.poll();
        if (finished != null) {
            mScheduler.prefillFinished(finished.attemptId(), PROMPT_TOKENS);
            mScheduler.release(finished.attemptId(), OUTPUT_TOKENS);
        }
    }

    /** Fails if the queue drained or grew, since the result would be that of another size. */
    @TearDown(Level.Iteration)
    public void checkQueueLength() {
        int queued =
                mScheduler.queuedByRank().values().stream().mapToInt(load -> load.queued()).sum();
        if (Math.abs(queued - mWorkspaces) > mWorkspaces / 10) {
            throw new IllegalStateException(
                    "queue length is " + queued + ", expected " + mWorkspaces + " within 10%");
        }
    }

    private WorkItem createItem() {
        int index = (int) (mSequence % mWorkspaces);
        int rank = index % FLOORS.length;
        PolicyStamp policy =
                new PolicyStamp(1, "workspace-" + index, 1, "rank-" + rank, rank, FLOORS[rank]);
        return new WorkItem(
                new AttemptId("a" + mSequence++),
                policy,
                new RequestCost(PROMPT_TOKENS, OUTPUT_TOKENS),
                Deadline.after(mClock, DEADLINE));
    }
}
