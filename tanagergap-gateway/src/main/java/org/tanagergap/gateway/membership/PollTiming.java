package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.function.IntSupplier;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.replication.PollSchedule;
import org.tanagergap.decisions.replication.ReplicationTiming;
import org.tanagergap.decisions.replication.StoreReaders;

/** Tells this instance when to poll the store, by its role in the fleet. */
final class PollTiming {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final StoreReaders mReaders;
    private final IntSupplier mInstances;
    private final ReplicationTiming mTiming;
    private final PollSchedule mSchedule;
    private boolean mLoaded;
    private boolean mLoggedReader = true;

    PollTiming(
            RuntimeClock clock,
            StoreReaders readers,
            IntSupplier instances,
            ReplicationTiming timing) {
        mClock = clock;
        mReaders = readers;
        mInstances = instances;
        mTiming = timing;
        mSchedule = new PollSchedule(timing);
    }

    /** Records that the replica has its first contents; until then the instance is a reader. */
    void loaded() {
        mLoaded = true;
    }

    boolean isReader() {
        return !mLoaded || mReaders.isReader(mInstances.getAsInt(), mClock.nanoTime());
    }

    /** Returns true if some instances of the fleet rely on others. */
    boolean hasReaders() {
        return mReaders.hasReaders(mInstances.getAsInt());
    }

    void completed(boolean successful) {
        mSchedule.completed(successful, mClock.nanoTime());
    }

    void requestPoll() {
        mSchedule.requestPoll();
    }

    boolean isDue() {
        return mSchedule.untilDue(situation(), mClock.nanoTime()).isZero();
    }

    Duration untilDecision() {
        return mSchedule.untilDecision(situation(), mClock.nanoTime());
    }

    /** Logs a change of the role. */
    void logRole() {
        boolean reader = isReader();
        if (reader != mLoggedReader) {
            mLoggedReader = reader;
            sLogger.atInfo().log(
                    "this instance %s",
                    reader
                            ? "polls the store for its peers"
                            : "relies on peers that poll the store");
        }
    }

    /** An instance that hears no peer polls as seldom as its number of peers requires. */
    private PollSchedule.Situation situation() {
        long now = mClock.nanoTime();
        Duration interval =
                mReaders.isAlone(now)
                        ? mTiming.pollIntervalAlone(mInstances.getAsInt())
                        : mTiming.pollInterval();
        return new PollSchedule.Situation(
                isReader(), mReaders.anyOtherHasReadRecently(now), interval);
    }
}
