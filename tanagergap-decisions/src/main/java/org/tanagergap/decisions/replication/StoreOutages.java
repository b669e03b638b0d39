package org.tanagergap.decisions.replication;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Decides whether an entry that is missing from the store may have expired because the store was
 * unavailable. Leases expire only in an outage for all: while the store serves any instance, an
 * entry that is missing was removed. An outage is therefore concluded from the calls of all
 * instances that are heard and never from those of one, which may be cut off or slow by itself.
 * Confined to the event loop.
 */
public final class StoreOutages {

    /** Entries that expired during an outage are written again within about 2 s of its end. */
    public static final Duration EXPIRY_GRACE = Duration.ofMillis(2200);

    /**
     * Leases outlast shorter outages: they last for several heartbeats, which are over a second
     * apart.
     */
    static final Duration MIN_OUTAGE = Duration.ofMillis(1200);

    /** One failed call may be due to its caller, such as a busy one that connects too slowly. */
    static final int MIN_FAILED_CALLS = 2;

    private OptionalLong mAnsweredNanos = OptionalLong.empty();
    private OptionalLong mEndedNanos = OptionalLong.empty();

    /**
     * Records that the store answered a call of this instance or of a peer.
     *
     * @param failedCalls failed calls of all instances that are known since their last successes
     * @return true if the response is the first one after an outage
     */
    public boolean answered(long atNanos, int failedCalls) {
        if (mAnsweredNanos.isPresent() && atNanos - mAnsweredNanos.getAsLong() <= 0) {
            return false;
        }
        boolean ended = isOutage(failedCalls, atNanos);
        mAnsweredNanos = OptionalLong.of(atNanos);
        if (ended) {
            mEndedNanos = mAnsweredNanos;
        }
        return ended;
    }

    /** Records that the store was restored from a backup, in which entries may be missing. */
    public void restored(long nowNanos) {
        mEndedNanos = OptionalLong.of(nowNanos);
    }

    /** Returns true if no instance is known to have been served for longer than leases outlast. */
    public boolean isOutage(int failedCalls, long nowNanos) {
        return failedCalls >= MIN_FAILED_CALLS
                && mAnsweredNanos.isPresent()
                && nowNanos - mAnsweredNanos.getAsLong() > MIN_OUTAGE.toNanos();
    }

    /** Returns true if an entry that is found missing now may have expired in an outage. */
    public boolean mayHaveExpired(int failedCalls, long nowNanos) {
        return isOutage(failedCalls, nowNanos)
                || sinceEnd(nowNanos).filter(t -> t.compareTo(EXPIRY_GRACE) < 0).isPresent();
    }

    /** Time since the end of the last outage. */
    public Optional<Duration> sinceEnd(long nowNanos) {
        return mEndedNanos.isPresent()
                ? Optional.of(Duration.ofNanos(nowNanos - mEndedNanos.getAsLong()))
                : Optional.empty();
    }
}
