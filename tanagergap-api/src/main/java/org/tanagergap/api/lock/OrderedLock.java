package org.tanagergap.api.lock;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Supplier;

/**
 * Lock with a rank. A thread that acquires locks in the wrong order gets an exception instead of a
 * deadlock.
 */
public final class OrderedLock {

    private static final ThreadLocal<Deque<LockRank>> sHeld =
            ThreadLocal.withInitial(ArrayDeque::new);

    private final LockRank mRank;
    private final ReentrantLock mLock = new ReentrantLock();

    public OrderedLock(LockRank rank) {
        mRank = Objects.requireNonNull(rank, "rank must not be null");
    }

    /** Runs the task while holding the lock. */
    public void run(Runnable task) {
        call(
                () -> {
                    task.run();
                    return null;
                });
    }

    /** Runs the task while holding the lock and returns its result. */
    public <T> T call(Supplier<T> task) {
        Deque<LockRank> held = sHeld.get();
        LockRank highest = held.peek();
        if (highest != null && highest.compareTo(mRank) >= 0) {
            throw new IllegalStateException(
                    "lock " + mRank + " must not be taken while holding " + highest);
        }
        mLock.lock();
        held.push(mRank);
        try {
            return task.get();
        } finally {
            held.pop();
            mLock.unlock();
        }
    }
}
