package org.tanagergap.decisions.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Reservations of engine memory. At most one reservation is pending: memory accumulates for its
 * owner as other reservations are released, so that small work cannot keep a large item waiting
 * forever.
 */
final class MemoryLedger {

    /**
     * Half of the released memory accumulates for a new pending reservation; the rest keeps small
     * work running. An old one accumulates everything, because with half of it the last tokens of a
     * large reservation would take a time that grows with the logarithm of its size.
     */
    private static final int ACCUMULATION_DIVISOR = 2;

    /** Divides the capacity into the maximum size of small work. */
    private static final int SMALL_DIVISOR = 40;

    /**
     * Divides the capacity into the headroom that small work can use despite pending and larger
     * reservations: about the memory of short prompts at half of an engine's load. Without it, an
     * overload of long prompts kept short ones waiting for memory until their deadlines.
     */
    private static final int HEADROOM_DIVISOR = 10;

    private final Map<Object, Reservation> mReservations = new HashMap<>();
    private final double mLongShare;
    private long mCapacity;
    private long mReserved;
    private long mLongReserved;
    private long mSmallReserved;
    private Object mPendingOwner;
    private boolean mPendingIsLong;
    private long mPendingTokens;
    private long mAccumulated;
    private boolean mAccumulatesAll;

    MemoryLedger(long capacity, double longShare) {
        mCapacity = capacity;
        mLongShare = longShare;
    }

    long capacity() {
        return mCapacity;
    }

    long reserved() {
        return mReserved;
    }

    long free() {
        return Math.max(0, mCapacity - mReserved);
    }

    /** Changes the capacity; existing reservations stay even when they exceed it. */
    void setCapacity(long capacity) {
        mCapacity = capacity;
        clampAccumulated();
    }

    /**
     * Returns true if long work of this size is within the cap; a single item may exceed the cap.
     */
    boolean fitsLongCap(Object owner, long tokens) {
        boolean pendingByOther =
                mPendingOwner != null && mPendingIsLong && !mPendingOwner.equals(owner);
        return !pendingByOther
                && (mLongReserved == 0 || mLongReserved + tokens <= mLongShare * mCapacity);
    }

    /** Returns the memory that the owner may reserve now. */
    long available(Object owner) {
        return owner.equals(mPendingOwner) ? free() : free() - mAccumulated;
    }

    /** Returns true if {@link #reserve} would succeed. */
    boolean fits(Object owner, long tokens, boolean isLong) {
        if (isSmall(tokens) && tokens <= smallHeadroom()) {
            return tokens <= free();
        }
        return tokens <= available(owner) && (!isLong || fitsLongCap(owner, tokens));
    }

    /** Returns true if the headroom of small work remains when work of this size starts. */
    boolean leavesHeadroom(long tokens) {
        long headroom = Math.min(smallHeadroom(), mCapacity - tokens);
        return isSmall(tokens) || tokens <= free() - headroom;
    }

    /**
     * Reserves memory and ends the owner's pending reservation.
     *
     * @return false if the memory is not available
     */
    boolean reserve(Object owner, long tokens, boolean isLong) {
        requireNotNegative(tokens);
        if (mReservations.containsKey(owner)) {
            throw new IllegalStateException(owner + " already has a memory reservation");
        }
        if (!fits(owner, tokens, isLong)) {
            return false;
        }
        cancelPending(owner);
        Reservation reservation = new Reservation(tokens, isLong, isSmall(tokens));
        mReservations.put(owner, reservation);
        add(tokens, reservation);
        clampAccumulated();
        return true;
    }

    /**
     * Changes the size of a reservation as far as free memory permits.
     *
     * @return new size of the reservation; 0 if the owner has none
     */
    long resize(Object owner, long tokens) {
        requireNotNegative(tokens);
        Reservation old = mReservations.get(owner);
        if (old == null) {
            return 0;
        }
        long change = Math.min(tokens - old.tokens(), free());
        long corrected = old.tokens() + change;
        mReservations.put(owner, new Reservation(corrected, old.isLong(), old.isSmall()));
        add(change, old);
        accumulate(-change);
        return corrected;
    }

    /** Releases a reservation; empty when it was released before or never made. */
    Optional<Long> release(Object owner) {
        Reservation reservation = mReservations.remove(owner);
        if (reservation == null) {
            return Optional.empty();
        }
        add(-reservation.tokens(), reservation);
        accumulate(reservation.tokens());
        return Optional.of(reservation.tokens());
    }

    Optional<Object> pendingOwner() {
        return Optional.ofNullable(mPendingOwner);
    }

    /**
     * Starts or renews the owner's pending reservation, unless another owner has one. While only
     * the cap on long work is missing, it keeps other long work from starting but lets small work
     * use free memory.
     *
     * @param accumulatesAll true if all released memory accumulates for the owner from now on
     */
    void startPending(Object owner, long tokens, boolean isLong, boolean accumulatesAll) {
        Objects.requireNonNull(owner, "owner must not be null");
        if (mPendingOwner != null && !mPendingOwner.equals(owner)) {
            return;
        }
        boolean isNew = mPendingTokens == 0;
        mPendingOwner = owner;
        mPendingIsLong = isLong;
        mAccumulatesAll = accumulatesAll;
        mPendingTokens = isLong && !fitsLongCap(owner, tokens) ? 0 : tokens;
        if (isNew || accumulatesAll) {
            mAccumulated = Math.min(mPendingTokens, free());
        }
        clampAccumulated();
    }

    /** Ends the pending reservation if it belongs to the owner. */
    void cancelPending(Object owner) {
        if (owner.equals(mPendingOwner)) {
            mPendingOwner = null;
            mPendingTokens = 0;
            mAccumulated = 0;
        }
    }

    private void add(long tokens, Reservation reservation) {
        mReserved += tokens;
        if (reservation.isLong()) {
            mLongReserved += tokens;
        }
        if (reservation.isSmall()) {
            mSmallReserved += tokens;
        }
    }

    private boolean isSmall(long tokens) {
        return tokens <= mCapacity / SMALL_DIVISOR;
    }

    /** Returns the part of the headroom that small work does not use yet. */
    private long smallHeadroom() {
        // A capacity that counts calls has no small work, and so needs no headroom for it.
        long headroom = mCapacity < SMALL_DIVISOR ? 0 : mCapacity / HEADROOM_DIVISOR;
        return Math.max(0, headroom - mSmallReserved);
    }

    private void accumulate(long released) {
        if (released > 0) {
            // Rounds up, so that releases of single tokens accumulate too.
            mAccumulated +=
                    mAccumulatesAll
                            ? released
                            : (released + ACCUMULATION_DIVISOR - 1) / ACCUMULATION_DIVISOR;
        }
        clampAccumulated();
    }

    private void clampAccumulated() {
        mAccumulated = Math.min(mAccumulated, Math.min(mPendingTokens, free()));
    }

    private static void requireNotNegative(long tokens) {
        if (tokens < 0) {
            throw new IllegalArgumentException("tokens must not be negative: " + tokens);
        }
    }

    private record Reservation(long tokens, boolean isLong, boolean isSmall) {}
}
