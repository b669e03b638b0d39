package org.tanagergap.decisions.memory;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** Predicts when memory will be free from the memory released recently. */
final class ReleaseRate {

    private static final Duration WINDOW = Duration.ofSeconds(2);
    private static final double NANOS_PER_SECOND = 1e9;

    private final Deque<Release> mReleases = new ArrayDeque<>();

    private record Release(long bytes, long nanos) {}

    void released(long bytes, long nowNanos) {
        if (bytes > 0) {
            mReleases.addLast(new Release(bytes, nowNanos));
        }
        expire(nowNanos);
    }

    /**
     * Returns the time in which that much is released.
     *
     * @param heldBytes memory in use; without a recent release all of it counts as released within
     *     one window
     */
    Duration timeToRelease(long bytes, long heldBytes, long nowNanos) {
        expire(nowNanos);
        long released = mReleases.stream().mapToLong(Release::bytes).sum();
        long assumed = released > 0 ? released : Math.max(1, heldBytes);
        double windows = (double) bytes / assumed;
        return Duration.ofNanos((long) (windows * WINDOW.toSeconds() * NANOS_PER_SECOND));
    }

    private void expire(long nowNanos) {
        while (!mReleases.isEmpty()
                && nowNanos - mReleases.peekFirst().nanos() > WINDOW.toNanos()) {
            mReleases.removeFirst();
        }
    }
}
