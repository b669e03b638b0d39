package org.tanagergap.decisions.replication;

import java.time.Duration;
import java.util.Objects;

/**
 * Times that bound the age of an instance's copy of the store. They are parts of the time in which
 * a change must be known to all: the wait for a poll, one failed call and the next call fit in it,
 * and so do the silence of the readers and an own poll.
 *
 * @param limit time from a change in the store until all instances must act on it
 */
public record ReplicationTiming(Duration limit) {

    /** Limit of deployments that name none. */
    public static final Duration DEFAULT_LIMIT = Duration.ofSeconds(2);

    /** Up to this number of instances each one polls at the shortest interval. */
    private static final int MAX_INSTANCES_AT_SHORTEST = 5;

    // A generous limit does not lengthen these: configurations and other changes wait for polls
    // too.
    private static final Duration MAX_POLL_INTERVAL = Duration.ofMillis(600);
    private static final Duration MAX_POLL_INTERVAL_ALONE = Duration.ofMillis(1800);
    private static final Duration MAX_RETRY_INTERVAL = Duration.ofMillis(250);
    private static final Duration MAX_SILENCE = Duration.ofMillis(1200);

    private static final double POLL_INTERVAL_PART = 0.3;
    private static final double POLL_INTERVAL_ALONE_PART = 0.6;
    private static final double RETRY_INTERVAL_PART = 0.125;
    private static final double SILENCE_PART = 0.6;

    public ReplicationTiming {
        Objects.requireNonNull(limit, "limit must not be null");
    }

    /** Time from a successful poll of a reader to the next one. */
    public Duration pollInterval() {
        return part(POLL_INTERVAL_PART, MAX_POLL_INTERVAL);
    }

    /**
     * Time from a successful poll to the next one of an instance that hears no peer. It grows with
     * the number of instances, none of which may hear another.
     */
    public Duration pollIntervalAlone(int instances) {
        Duration shortest = pollInterval();
        Duration longest = part(POLL_INTERVAL_ALONE_PART, MAX_POLL_INTERVAL_ALONE);
        double factor = Math.max(1, (double) instances / MAX_INSTANCES_AT_SHORTEST);
        return min(Duration.ofMillis((long) (shortest.toMillis() * factor)), longest);
    }

    /** Time from a failed poll to the next one if the store may be available. */
    public Duration retryInterval() {
        return part(RETRY_INTERVAL_PART, MAX_RETRY_INTERVAL);
    }

    /** Longest time without a read by any reader before the other instances poll. */
    public Duration maxSilence() {
        return part(SILENCE_PART, MAX_SILENCE);
    }

    private Duration part(double part, Duration max) {
        return min(Duration.ofMillis((long) (limit.toMillis() * part)), max);
    }

    private static Duration min(Duration a, Duration b) {
        return a.compareTo(b) < 0 ? a : b;
    }
}
