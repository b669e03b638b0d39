package org.tanagergap.measure.fleet;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.tanagergap.api.time.RuntimeClock;

/** Network path with delay, jitter and loss; a lost message arrives after a retransmission. */
final class Link {

    // Typical minimum retransmission timeout of TCP.
    private static final Duration RETRANSMISSION_TIMEOUT = Duration.ofMillis(200);

    private final RuntimeClock mClock;
    private final RandomGenerator mRandom;
    private final FleetSettings mSettings;
    private final Duration mDelay;

    Link(RuntimeClock clock, RandomGenerator random, FleetSettings settings, Duration delay) {
        mClock = clock;
        mRandom = random;
        mSettings = settings;
        mDelay = delay;
    }

    /** Schedules the task for the time at which the message arrives. */
    void send(Runnable task) {
        Duration delay =
                mDelay.plusNanos((long) (mRandom.nextDouble() * mSettings.maxJitter().toNanos()));
        if (mRandom.nextDouble() < mSettings.lossProbability()) {
            delay = delay.plus(RETRANSMISSION_TIMEOUT);
        }
        mClock.schedule(delay, task);
    }
}
