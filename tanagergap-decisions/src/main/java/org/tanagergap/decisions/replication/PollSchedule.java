package org.tanagergap.decisions.replication;

import java.time.Duration;

/**
 * Decides when an instance polls the store next. A reader polls at short intervals. Another
 * instance learns the changes from its peers, and polls as a check and while no reader makes
 * progress. Confined to the event loop.
 */
public final class PollSchedule {

    /** Interval of the polls of an instance that relies on readers. */
    static final Duration CHECK_INTERVAL = Duration.ofSeconds(6);

    /** Longest time until an instance that is not a reader checks the progress of its readers. */
    static final Duration MAX_DECISION_INTERVAL = Duration.ofMillis(200);

    private final ReplicationTiming mTiming;
    private boolean mFailed;
    private boolean mRequested;
    private long mCompletedNanos;

    /**
     * What the next poll depends on.
     *
     * @param reader whether the instance is a reader
     * @param readersProgress whether a reader among its peers has read the store recently
     * @param readerInterval time from a successful poll of a reader to the next one
     */
    public record Situation(boolean reader, boolean readersProgress, Duration readerInterval) {}

    public PollSchedule(ReplicationTiming timing) {
        mTiming = timing;
    }

    /** Records that a poll ended; the interval to the next one begins. */
    public void completed(boolean successful, long nowNanos) {
        mFailed = !successful;
        mRequested = false;
        mCompletedNanos = nowNanos;
    }

    /** Makes a poll due without regard to readers, because changes of a peer cannot be fetched. */
    public void requestPoll() {
        mRequested = true;
    }

    /** Time until the next poll is due; zero if it is. */
    public Duration untilDue(Situation situation, long nowNanos) {
        Duration interval = mRequested ? mTiming.retryInterval() : interval(situation);
        Duration left = interval.minusNanos(nowNanos - mCompletedNanos);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** Time until the instance decides again whether to poll. */
    public Duration untilDecision(Situation situation, long nowNanos) {
        Duration left = untilDue(situation, nowNanos);
        boolean exact = situation.reader() || left.compareTo(MAX_DECISION_INTERVAL) < 0;
        return exact ? left : MAX_DECISION_INTERVAL;
    }

    private Duration interval(Situation situation) {
        // An instance that fails while readers succeed is late after an outage, or cut off alone.
        if (mFailed && (situation.reader() || situation.readersProgress())) {
            return mTiming.retryInterval();
        }
        if (situation.reader()) {
            return situation.readerInterval();
        }
        return situation.readersProgress() ? CHECK_INTERVAL : mTiming.maxSilence();
    }
}
