package org.tanagergap.measure.placement;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: runs actions at their times, those of the same time in the order of entry. */
final class EventQueue {

    private static final double NANOS_PER_MILLI = 1e6;

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::millis).thenComparingLong(Event::sequence));
    private double mNow;
    private long mSequence;

    private record Event(double millis, long sequence, Runnable action) {}

    /** Current time, in ms. */
    double now() {
        return mNow;
    }

    /** Current time, in ns. */
    long nowNanos() {
        return (long) (mNow * NANOS_PER_MILLI);
    }

    /** Adds an action for a time, in ms. */
    void at(double millis, Runnable action) {
        mEvents.add(new Event(millis, mSequence++, action));
    }

    /** Adds an action for a time from now, in ms. */
    void after(double millis, Runnable action) {
        at(mNow + millis, action);
    }

    /** Runs the actions before a time, also those that they add. */
    void runUntil(double end) {
        while (!mEvents.isEmpty() && mEvents.peek().millis() < end) {
            Event event = mEvents.poll();
            mNow = event.millis();
            event.action().run();
        }
    }
}
