package org.tanagergap.decisions.scheduling;

import java.time.Duration;

/** Tokens served over a sliding window, kept in steps of a twentieth of the window. */
final class ServiceWindow {

    private static final int STEPS = 20;

    private final long[] mTokens = new long[STEPS];
    private final long mStepNanos;
    private long mStep = Long.MIN_VALUE;
    private long mSum;

    ServiceWindow(Duration length) {
        mStepNanos = Math.max(1, length.toNanos() / STEPS);
    }

    void add(long nowNanos, long tokens) {
        moveTo(nowNanos);
        mTokens[index(mStep)] += tokens;
        mSum += tokens;
    }

    long sum(long nowNanos) {
        moveTo(nowNanos);
        return mSum;
    }

    private void moveTo(long nowNanos) {
        long step = Math.floorDiv(nowNanos, mStepNanos);
        if (mStep == Long.MIN_VALUE) {
            mStep = step;
        }
        long steps = Math.min(STEPS, step - mStep);
        for (long i = 1; i <= steps; i++) {
            int index = index(mStep + i);
            mSum -= mTokens[index];
            mTokens[index] = 0;
        }
        mStep = Math.max(mStep, step);
    }

    private static int index(long step) {
        return (int) Math.floorMod(step, (long) STEPS);
    }
}
