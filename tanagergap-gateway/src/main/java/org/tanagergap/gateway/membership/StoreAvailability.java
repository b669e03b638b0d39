package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.replication.PeerRead;
import org.tanagergap.decisions.replication.StoreOutages;
import org.tanagergap.decisions.replication.StoreReaders;

/**
 * Availability of the store to this instance and to its peers. Calls of this instance alone decide
 * whether it fetches from peers; the calls of all decide what a removed entry means. Confined to
 * the event loop.
 */
final class StoreAvailability {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final StoreReaders mReaders;
    private final StoreOutages mOutages;
    private final LongConsumer mOutageEnded;
    private Optional<Long> mFailingSinceNanos = Optional.empty();

    /**
     * Creates the availability of a store that has not failed.
     *
     * @param readers whose reads and failed calls are known
     * @param outageEnded receives the time of the first response after an outage for all
     */
    StoreAvailability(RuntimeClock clock, StoreReaders readers, LongConsumer outageEnded) {
        mClock = clock;
        mReaders = readers;
        mOutages = new StoreOutages(this::failedCalls);
        mOutageEnded = outageEnded;
    }

    /** Returns true if the last call of this instance failed. */
    boolean isFailing() {
        return mFailingSinceNanos.isPresent();
    }

    /**
     * Records a failed call.
     *
     * @return true if the call before it succeeded
     */
    boolean failed() {
        mReaders.storeCallFailed();
        if (isFailing()) {
            return false;
        }
        mFailingSinceNanos = Optional.of(mClock.nanoTime());
        return true;
    }

    /** Records a response. */
    void responded() {
        long now = mClock.nanoTime();
        answered(now);
        mReaders.storeRead(now);
        mFailingSinceNanos.ifPresent(
                since ->
                        sLogger.atInfo().log(
                                "key-value store is available again after %d ms",
                                Duration.ofNanos(now - since).toMillis()));
        mFailingSinceNanos = Optional.empty();
    }

    /** Records the reads that a peer reports. */
    void peerReported(String id, PeerRead read) {
        long now = mClock.nanoTime();
        // Before the report replaces the failed calls that the peer reported until now.
        read.sinceRead().ifPresent(age -> answered(now - age.toNanos()));
        mReaders.peerReported(id, read, now);
    }

    private int failedCalls() {
        return mReaders.failedCalls(mClock.nanoTime());
    }

    private void answered(long atNanos) {
        if (mOutages.answered(atNanos)) {
            sLogger.atInfo().log(
                    "key-value store is available again to the fleet after %d failed calls",
                    failedCalls());
            mOutageEnded.accept(atNanos);
        }
    }

    /** Records that the store was restored from a backup, in which entries may be missing. */
    void restored() {
        mOutages.restored(mClock.nanoTime());
    }

    /** Returns true while the store serves neither this instance nor a peer. */
    boolean isOutage() {
        return mOutages.isOutage(mClock.nanoTime());
    }

    /** Returns true if a removal may be a lease that expired while the store was unavailable. */
    boolean removalMayBeExpiry() {
        return mOutages.mayHaveExpired(mClock.nanoTime());
    }

    /** Why a removal may be a lease that expired. */
    String expiryReason() {
        if (isOutage()) {
            return "the store answers nobody, " + failedCalls() + " calls failed";
        }
        return mOutages.sinceEnd(mClock.nanoTime())
                .map(time -> "the store was unavailable or restored " + time.toMillis() + " ms ago")
                .orElse("the store was restored");
    }
}
