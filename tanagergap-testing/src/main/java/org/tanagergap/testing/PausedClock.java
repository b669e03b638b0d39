package org.tanagergap.testing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;

/** Clock that only a test advances; due tasks run on the thread that advances it. */
public final class PausedClock implements RuntimeClock {

    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::sequence));
    private final Instant mStart;
    private long mNanos;
    private long mSequence;

    /** Creates a clock that starts at a fixed instant. */
    public PausedClock() {
        this(Instant.parse("2026-01-01T00:00:00Z"));
    }

    public PausedClock(Instant start) {
        mStart = start;
    }

    @Override
    public synchronized Instant now() {
        return mStart.plusNanos(mNanos);
    }

    @Override
    public synchronized long nanoTime() {
        return mNanos;
    }

    @Override
    public synchronized Timer schedule(Duration delay, Runnable runnable) {
        long due = mNanos + Math.max(0, delay.toNanos());
        Task task = new Task(due, mSequence++, runnable);
        mTasks.add(task);
        return () -> remove(task);
    }

    /** Advances the time and runs all tasks that become due, in order of their due time. */
    public void advance(Duration duration) {
        long target = nanoTime() + duration.toNanos();
        while (runNextBefore(target)) {
            continue;
        }
        synchronized (this) {
            mNanos = target;
        }
    }

    /**
     * Advances the time without running tasks, as while their thread is busy; those that become due
     * run late, with the next advance.
     */
    public synchronized void advanceWhileBusy(Duration duration) {
        mNanos += duration.toNanos();
    }

    /**
     * Advances to the next task and runs it.
     *
     * @return false if no task is scheduled
     */
    public boolean advanceToNextTask() {
        return runNextBefore(Long.MAX_VALUE);
    }

    /** Number of scheduled tasks. */
    public synchronized int pendingTasks() {
        return mTasks.size();
    }

    private boolean runNextBefore(long limitNanos) {
        Task task;
        synchronized (this) {
            task = mTasks.peek();
            if (task == null || task.dueNanos() > limitNanos) {
                return false;
            }
            mTasks.poll();
            mNanos = Math.max(mNanos, task.dueNanos());
        }
        task.runnable().run();
        return true;
    }

    private synchronized void remove(Task task) {
        mTasks.remove(task);
    }

    private record Task(long dueNanos, long sequence, Runnable runnable) {}
}
