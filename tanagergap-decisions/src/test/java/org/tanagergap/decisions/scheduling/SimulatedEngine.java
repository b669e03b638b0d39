package org.tanagergap.decisions.scheduling;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tanagergap.testing.PausedClock;

/** Engine that prefills one prompt after another at a fixed rate and decodes for a fixed time. */
final class SimulatedEngine {

    private static final Duration STEP = Duration.ofMillis(10);

    private final PausedClock mClock;
    private final UpstreamScheduler mScheduler;
    private final double mTokensPerStep;
    private final Duration mDecode;
    private final Deque<WorkItem> mPrefill = new ArrayDeque<>();
    private final List<Decoding> mDecoding = new ArrayList<>();
    private final Map<String, Long> mServedByWorkspace = new HashMap<>();
    private final Map<String, Long> mServedByRank = new HashMap<>();
    private final Map<String, Long> mStartedNanos = new HashMap<>();
    private double mProgress;

    SimulatedEngine(PausedClock clock, UpstreamScheduler scheduler, double rate, Duration decode) {
        mClock = clock;
        mScheduler = scheduler;
        mTokensPerStep = rate * STEP.toMillis() / 1000;
        mDecode = decode;
    }

    /** Advances in steps; the load runs before each step and submits new work. */
    void run(Duration time, Runnable load) {
        for (long i = 0; i < time.dividedBy(STEP); i++) {
            load.run();
            step();
        }
    }

    long servedOfWorkspace(String name) {
        return mServedByWorkspace.getOrDefault(name, 0L);
    }

    long servedOfRank(String name) {
        return mServedByRank.getOrDefault(name, 0L);
    }

    boolean hasStarted(String attempt) {
        return mStartedNanos.containsKey(attempt);
    }

    private void step() {
        mScheduler.takeExpired();
        for (WorkItem item : mScheduler.takeDispatchable()) {
            long tokens = item.cost().memoryTokens();
            mServedByWorkspace.merge(item.policy().workspace(), tokens, Long::sum);
            mServedByRank.merge(item.policy().rank(), tokens, Long::sum);
            mStartedNanos.put(item.attemptId().value(), mClock.nanoTime());
            mPrefill.add(item);
        }
        mClock.advance(STEP);
        mProgress += mTokensPerStep;
        while (!mPrefill.isEmpty() && mProgress >= mPrefill.peek().cost().promptTokens()) {
            WorkItem done = mPrefill.poll();
            mProgress -= done.cost().promptTokens();
            mScheduler.prefillFinished(done.attemptId(), done.cost().promptTokens());
            mDecoding.add(new Decoding(done, mClock.nanoTime() + mDecode.toNanos()));
        }
        if (mPrefill.isEmpty()) {
            mProgress = 0;
        }
        mDecoding.removeIf(
                decoding -> {
                    boolean isOver = decoding.endNanos() <= mClock.nanoTime();
                    if (isOver) {
                        WorkItem item = decoding.item();
                        mScheduler.release(item.attemptId(), item.cost().maxOutputTokens());
                    }
                    return isOver;
                });
    }

    private record Decoding(WorkItem item, long endNanos) {}
}
