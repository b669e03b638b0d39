package org.tanagergap.gateway.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.tanagergap.api.time.RuntimeClock;

/**
 * Availability of the store to this instance and its peers, on which the meaning of a removed entry
 * depends. Confined to the event loop.
 */
final class StoreAvailability {

    /** Removals this soon after an outage may be leases that expired during the outage. */
    private static final Duration EXPIRY_WINDOW = Duration.ofMillis(2200);

    /**
     * Peers that are ahead for longer are served by a store that is unavailable to this instance.
     */
    private static final Duration PEERS_AHEAD_THRESHOLD = Duration.ofMillis(1200);

    private final RuntimeClock mClock;
    private final BooleanSupplier mReadersSawOutage;
    private Optional<Long> mFailingSinceNanos = Optional.empty();
    private Optional<Long> mRecoveredNanos = Optional.empty();
    private Optional<Long> mPeersAheadSinceNanos = Optional.empty();
    private long mPeersAheadLastNanos;

    /**
     * Creates the availability of a store that has not failed.
     *
     * @param readersSawOutage whether readers among the peers have recently seen an outage, which
     *     this instance may not have noticed
     */
    StoreAvailability(RuntimeClock clock, BooleanSupplier readersSawOutage) {
        mClock = clock;
        mReadersSawOutage = readersSawOutage;
    }

    boolean isFailing() {
        return mFailingSinceNanos.isPresent();
    }

    /**
     * Records a failed call.
     *
     * @return true if the store was available before
     */
    boolean failed() {
        if (isFailing()) {
            return false;
        }
        mFailingSinceNanos = Optional.of(mClock.nanoTime());
        mPeersAheadSinceNanos = Optional.empty();
        return true;
    }

    /** Records a response; returns the duration of the outage that it ends. */
    Optional<Duration> responded() {
        Optional<Duration> outage =
                mFailingSinceNanos.map(since -> Duration.ofNanos(elapsedNanos(since)));
        if (outage.isPresent()) {
            mFailingSinceNanos = Optional.empty();
            mRecoveredNanos = Optional.of(mClock.nanoTime());
        }
        return outage;
    }

    /** Records that the store was restored from a backup, in which entries may be missing. */
    void restored() {
        mRecoveredNanos = Optional.of(mClock.nanoTime());
        mPeersAheadSinceNanos = Optional.empty();
    }

    /**
     * Records that a peer has newer changes although the store is unavailable to this instance. A
     * peer that was ahead once may just have read the store last before an outage for all.
     */
    void peerWasAhead() {
        if (elapsedNanos(mPeersAheadLastNanos) > PEERS_AHEAD_THRESHOLD.toNanos()) {
            mPeersAheadSinceNanos = Optional.empty();
        }
        mPeersAheadLastNanos = mClock.nanoTime();
        mPeersAheadSinceNanos = mPeersAheadSinceNanos.or(() -> Optional.of(mClock.nanoTime()));
    }

    /** Returns true if a removal may be a lease that expired while the store was unavailable. */
    boolean removalMayBeExpiry() {
        return sawOutage() || mReadersSawOutage.getAsBoolean();
    }

    /** Why a removal may be a lease that expired. */
    String expiryReason() {
        if (isFailing()) {
            return "own calls fail for " + millisSince(mFailingSinceNanos) + " ms";
        }
        if (sawOutage()) {
            return "the store was unavailable until " + millisSince(mRecoveredNanos) + " ms ago";
        }
        return mReadersSawOutage.getAsBoolean() ? "a peer reports an outage" : "a restored store";
    }

    private long millisSince(Optional<Long> nanos) {
        return Duration.ofNanos(nanos.map(this::elapsedNanos).orElse(0L)).toMillis();
    }

    /**
     * Returns true if the store failed to answer this instance until recently, as far as it saw.
     */
    boolean sawOutage() {
        boolean recentlyRecovered =
                mRecoveredNanos.filter(t -> elapsedNanos(t) < EXPIRY_WINDOW.toNanos()).isPresent();
        return (isFailing() || recentlyRecovered) && !peersWereAheadForLong();
    }

    /**
     * Returns true if peers received changes from the store while this instance did not. After an
     * outage for all instances a peer may be ahead for a moment, which does not count.
     */
    boolean storeServedPeers() {
        return peersWereAheadForLong() && !mReadersSawOutage.getAsBoolean();
    }

    private boolean peersWereAheadForLong() {
        return mPeersAheadSinceNanos
                .filter(t -> mPeersAheadLastNanos - t > PEERS_AHEAD_THRESHOLD.toNanos())
                .isPresent();
    }

    private long elapsedNanos(long nanos) {
        return mClock.nanoTime() - nanos;
    }
}
