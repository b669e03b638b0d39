package org.tanagergap.decisions.memory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides which request bodies a process reads while memory is short. It answers a burst of long
 * bodies: each is within the limit of a request, and together they would fill the heap. A body
 * reserves its memory before it is read. One that does not fit waits if memory will probably be
 * free within the time that its caller can spare, and is refused otherwise; less urgent bodies that
 * are still incomplete give way first. Short bodies may use memory that long ones may not, so that
 * a burst of long ones does not stop them. Confined to the event loop.
 */
public final class BodyAdmission {

    /** Bodies up to this size are short. */
    public static final int SHORT_BODY_BYTES = 64 << 10;

    /** What has arrived on an HTTP/2 stream stays in memory, so that it cannot wait for more. */
    public static final Duration NO_WAIT = Duration.ofNanos(-1);

    /** Share of the memory that long bodies may use; responses and short bodies use the rest. */
    private static final double LONG_BODY_SHARE = 0.625;

    /** Share of the memory up to which long bodies are admitted beside whatever else uses it. */
    private static final double TOTAL_SHARE_FOR_LONG_BODIES = 0.875;

    private final SharedMemoryLimit mLimit;
    private final ReleaseRate mReleaseRate = new ReleaseRate();
    private final Set<Reservation> mIncomplete = new LinkedHashSet<>();
    private final List<Reservation> mWaiting = new ArrayList<>();
    private long mReservedBytes;

    /** What a body is told after it has asked for memory. */
    public enum Answer {
        /** The memory is reserved. */
        ADMITTED,
        /** The body must not be read until its admission is reported. */
        WAITING,
        /** The request was refused through its action. */
        REFUSED
    }

    /** Creates an admission to a part of the memory. */
    public BodyAdmission(SharedMemoryLimit limit) {
        mLimit = Objects.requireNonNull(limit, "limit must not be null");
    }

    /**
     * Adds a body that has no memory yet.
     *
     * @param rank rank of the request; 0 is the most urgent
     * @param patience longest time for which the body may wait for memory
     * @param onAdmit called when a body that waited may be read
     * @param onRefuse called with the time to retry after when the body must be given up; its
     *     memory is no longer counted
     */
    public Reservation open(
            int rank, Duration patience, Runnable onAdmit, Consumer<Duration> onRefuse) {
        return new Reservation(rank, patience, onAdmit, onRefuse);
    }

    /** Largest reservation that can ever be granted. */
    public long maxBodyBytes() {
        return maxLongBytes();
    }

    /** Memory reserved for bodies. */
    public long reservedBytes() {
        return mReservedBytes;
    }

    /** Memory of one body. */
    public final class Reservation {

        private final int mRank;
        private final Duration mPatience;
        private final Runnable mOnAdmit;
        private final Consumer<Duration> mOnRefuse;
        private final SharedMemoryLimit.Share mShare = mLimit.open(() -> {});
        private long mBytes;
        private long mRequestedBytes;
        private boolean mClosed;

        private Reservation(
                int rank, Duration patience, Runnable onAdmit, Consumer<Duration> onRefuse) {
            mRank = rank;
            mPatience = patience;
            mOnAdmit = Objects.requireNonNull(onAdmit, "onAdmit must not be null");
            mOnRefuse = Objects.requireNonNull(onRefuse, "onRefuse must not be null");
            // Bodies give way by rank, not by size as responses do.
            mShare.completed();
            mIncomplete.add(this);
        }

        /** Asks for memory so that the body has the given size in total. */
        public Answer reserve(long bytes, long nowNanos) {
            mRequestedBytes = Math.max(mRequestedBytes, bytes);
            if (mClosed) {
                return Answer.REFUSED;
            }
            if (mayOvertakeWaiting() && (fits() || makeRoom(this, nowNanos))) {
                grant();
                // Those that gave way may have freed more than this body needs.
                admitWaiting();
                return Answer.ADMITTED;
            }
            Duration wait = predictedWait(this, nowNanos);
            if (wait.compareTo(mPatience) > 0) {
                refuse(wait, nowNanos);
                return Answer.REFUSED;
            }
            mWaiting.add(this);
            return Answer.WAITING;
        }

        /** Reserves memory if there is some; the body may ask again otherwise. */
        public boolean tryReserve(long bytes) {
            mRequestedBytes = Math.max(mRequestedBytes, bytes);
            boolean admitted = !mClosed && fits();
            if (admitted) {
                grant();
            }
            return admitted;
        }

        /** Records that the body is complete, so that it no longer gives way. */
        public void completed() {
            mIncomplete.remove(this);
        }

        /** Refuses the body if it still waits. */
        public void waitEnded(long nowNanos) {
            if (mWaiting.contains(this)) {
                refuse(predictedWait(this, nowNanos), nowNanos);
            }
        }

        /** Records that the body no longer uses memory; further calls have no effect. */
        public void close(long nowNanos) {
            if (mClosed) {
                return;
            }
            release(nowNanos);
            admitWaiting();
        }

        private void release(long nowNanos) {
            mClosed = true;
            mIncomplete.remove(this);
            mWaiting.remove(this);
            mShare.close();
            mReservedBytes -= mBytes;
            mReleaseRate.released(mBytes, nowNanos);
        }

        private void refuse(Duration retryAfter, long nowNanos) {
            close(nowNanos);
            mOnRefuse.accept(retryAfter);
        }

        private void grant() {
            long added = missingBytes();
            mBytes += added;
            mReservedBytes += added;
            mShare.add(added);
        }

        private long missingBytes() {
            return Math.max(0, mRequestedBytes - mBytes);
        }

        private boolean isShort() {
            return mRequestedBytes <= SHORT_BODY_BYTES;
        }

        private boolean fits() {
            long missing = missingBytes();
            boolean inTotal = mLimit.usedBytes() + missing <= maxTotalBytes();
            return inTotal && (isShort() || mReservedBytes + missing <= maxLongBytes());
        }

        private long maxTotalBytes() {
            double share = isShort() ? 1 : TOTAL_SHARE_FOR_LONG_BODIES;
            return (long) (share * mLimit.maxBytes());
        }

        private boolean mayOvertakeWaiting() {
            return isShort() || mWaiting.stream().allMatch(w -> w == this || w.mRank > mRank);
        }
    }

    private long maxLongBytes() {
        return (long) (LONG_BODY_SHARE * mLimit.maxBytes());
    }

    /**
     * Gives up less urgent incomplete bodies if that makes room for the body.
     *
     * @return true if the body fits now
     */
    private boolean makeRoom(Reservation body, long nowNanos) {
        List<Reservation> victims =
                mIncomplete.stream()
                        .filter(other -> other.mRank > body.mRank)
                        .sorted(
                                Comparator.comparingInt((Reservation r) -> -r.mRank)
                                        .thenComparingLong(r -> -r.mBytes))
                        .toList();
        long freed = victims.stream().mapToLong(victim -> victim.mBytes).sum();
        long needed = body.missingBytes() - freed;
        if (mReservedBytes + needed > maxLongBytes()
                || mLimit.usedBytes() + needed > body.maxTotalBytes()) {
            return false;
        }
        Duration retryAfter = predictedWait(body, nowNanos);
        for (Reservation victim : victims) {
            if (body.fits()) {
                break;
            }
            victim.release(nowNanos);
            victim.mOnRefuse.accept(retryAfter);
        }
        return body.fits();
    }

    private void admitWaiting() {
        Optional<Reservation> next = nextWaiting().filter(Reservation::fits);
        while (next.isPresent()) {
            Reservation admitted = next.get();
            mWaiting.remove(admitted);
            admitted.grant();
            admitted.mOnAdmit.run();
            next = nextWaiting().filter(Reservation::fits);
        }
    }

    /** The most urgent body that has waited longest; the list is in order of arrival. */
    private Optional<Reservation> nextWaiting() {
        return mWaiting.stream().min(Comparator.comparingInt(r -> r.mRank));
    }

    /** Time until the body and those that come before it fit, if memory is freed as recently. */
    private Duration predictedWait(Reservation body, long nowNanos) {
        long ahead =
                mWaiting.stream()
                        .filter(w -> w != body && w.mRank <= body.mRank)
                        .mapToLong(Reservation::missingBytes)
                        .sum();
        long free = Math.max(0, maxLongBytes() - mReservedBytes);
        long needed = Math.max(1, ahead + body.missingBytes() - free);
        return mReleaseRate.timeToRelease(needed, mReservedBytes, nowNanos);
    }
}
