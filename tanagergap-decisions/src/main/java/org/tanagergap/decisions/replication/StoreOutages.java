package org.tanagergap.decisions.replication;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.IntSupplier;

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

    private final IntSupplier mFailedCalls;
    private OptionalLong mAnsweredNanos = OptionalLong.empty();
    private OptionalLong mEndedNanos = OptionalLong.empty();

    /**
     * Creates a decision for a store that has not failed.
     *
     * @param failedCalls failed calls of all instances that are heard, since the last success of
     *     each; asked only if nobody was served for long, as it takes longer in a large fleet
     */
    public StoreOutages(IntSupplier failedCalls) {
        mFailedCalls = failedCalls;
    }

    /**
     * Records that the store answered a call of this instance or of a peer.
     *
     * @return true if the response is the first one after an outage
     */
    public boolean answered(long atNanos) {
        if (mAnsweredNanos.isPresent() && atNanos - mAnsweredNanos.getAsLong() <= 0) {
            return false;
        }
        boolean ended = isOutage(atNanos);
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
    public boolean isOutage(long nowNanos) {
        return mAnsweredNanos.isPresent()
                && nowNanos - mAnsweredNanos.getAsLong() > MIN_OUTAGE.toNanos()
                && mFailedCalls.getAsInt() >= MIN_FAILED_CALLS;
    }

    /** Returns true if an entry that is found missing now may have expired in an outage. */
    public boolean mayHaveExpired(long nowNanos) {
        return isOutage(nowNanos)
                || sinceEnd(nowNanos).filter(t -> t.compareTo(EXPIRY_GRACE) < 0).isPresent();
    }

    /** Time since the end of the last outage. */
    public Optional<Duration> sinceEnd(long nowNanos) {
        return mEndedNanos.isPresent()
                ? Optional.of(Duration.ofNanos(nowNanos - mEndedNanos.getAsLong()))
                : Optional.empty();
    }
}
