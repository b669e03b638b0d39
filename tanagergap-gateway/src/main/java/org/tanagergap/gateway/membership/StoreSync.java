package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.replication.PeerRead;
import org.tanagergap.decisions.replication.ReadSchedule;
import org.tanagergap.decisions.replication.ReadSchedule.Read;
import org.tanagergap.decisions.replication.ReplicationTiming;
import org.tanagergap.decisions.replication.StoreReaders;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.HistoryLostException;
import org.tanagergap.runtime.async.Futures;

/**
 * Keeps the local replica up to date: one full read, then polls for changes. In a large fleet a few
 * readers poll often, and the other instances fetch the changes from peers. While the store is
 * unavailable, peers are polled instead. Confined to the event loop.
 */
public final class StoreSync implements Service, ReplicaReports, ExpiryCheck {

    /**
     * An instance that is not a reader fetches from its peers at this interval what they do not
     * report as a change, such as heartbeats. With the 0.6 s of a reader, the information is 1.8 s
     * old at most, as with polls of the store.
     */
    private static final Duration FETCH_INTERVAL = Duration.ofMillis(1200);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final ReplicaReader mReader;
    private final ReplicaUpdater mUpdater;
    private final StoreAvailability mAvailability;
    private final StoreReaders mReaders;
    private final PeerCatchUp mPeers;
    private final PollTiming mTiming;
    private final ReadSchedule mReads = new ReadSchedule();
    private final CompletableFuture<Void> mLoaded = new CompletableFuture<>();
    private boolean mStopped;
    private boolean mPolling;
    private Runnable mAnnouncement = () -> {};
    private long mFetchedNanos;
    private Timer mTimer = () -> {};

    /**
     * Creates a synchronization that is not started.
     *
     * @param ownPrefixes prefixes of keys that the decoder does not read
     * @param instances number of instances that report their progress to each other
     * @param readers instances that poll the store on behalf of the fleet
     * @param timing times of the polls
     */
    public StoreSync(
            RuntimeClock clock,
            ChangeFeed feed,
            FleetDecoder decoder,
            List<String> ownPrefixes,
            FleetView view,
            PeerReplicas peers,
            IntSupplier instances,
            StoreReaders readers,
            ReplicationTiming timing,
            StoreChangeListener listener) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        Objects.requireNonNull(feed, "feed must not be null");
        Objects.requireNonNull(decoder, "decoder must not be null");
        Objects.requireNonNull(view, "view must not be null");
        Objects.requireNonNull(peers, "peers must not be null");
        mReaders = Objects.requireNonNull(readers, "readers must not be null");
        Objects.requireNonNull(listener, "listener must not be null");
        List<String> prefixes = new ArrayList<>(decoder.prefixes());
        prefixes.addAll(ownPrefixes);
        mTiming = new PollTiming(clock, readers, instances, timing);
        mAvailability = new StoreAvailability(clock, readers, view::storeRecovered);
        mUpdater = new ReplicaUpdater(clock, decoder, prefixes, view, mAvailability, listener);
        mReader =
                new ReplicaReader(
                        feed,
                        decoder.operatorPrefix(),
                        new StoreReader(feed, prefixes),
                        mReads,
                        mUpdater,
                        mAvailability,
                        this::loadCompleted);
        mPeers = new PeerCatchUp(peers, mUpdater);
        view.checkExpiryWith(this);
    }

    /** Sets an action that sends a report to peers ahead of schedule. */
    public void announceWith(Runnable action) {
        mAnnouncement = action;
    }

    @Override
    public ReplicaProgress progress() {
        return new ReplicaProgress(mUpdater.position(), mUpdater.lastChange());
    }

    @Override
    public PeerRead storeRead() {
        return mReaders.report(mAvailability.removalMayBeExpiry(), mClock.nanoTime());
    }

    /** Fetches the changes of a peer whose replica has a newer change than the local one. */
    @Override
    public void peerReported(String id, ReplicaProgress peer, Optional<PeerRead> read) {
        read.ifPresent(r -> mAvailability.peerReported(id, r));
        // This instance may have to take the place of the peer as a reader.
        if (mLoaded.isDone() && read.filter(r -> r.failedCalls() > 0).isPresent()) {
            scheduleDecision();
        }
        if (!peer.lastChange().isAfter(mUpdater.position())) {
            return;
        }
        if (!mAvailability.isFailing()) {
            fetchFromPeer();
        } else if (mTiming.hasReaders() && !mStopped) {
            fetchDuringOutage();
        }
    }

    /** Returns true if this instance polls the store at short intervals. */
    public boolean isReader() {
        return mTiming.isReader();
    }

    @Override
    public boolean isOutage() {
        return mAvailability.isOutage();
    }

    /** Readers report what has returned as a change, which the others then fetch. */
    @Override
    public void refresh() {
        if (isReader()) {
            mTiming.requestPoll();
            scheduleDecision();
        }
    }

    private void fetchFromPeer() {
        if (!mStopped && !mReads.behind()) {
            mFetchedNanos = mClock.nanoTime();
            mPeers.fetch(this::fetchFailed);
        }
    }

    private void fetchFailed() {
        if (!isReader()) {
            mTiming.requestPoll();
            scheduleDecision();
        }
    }

    /** Local replica of the store, which is served to peers. */
    public StoreReplica replica() {
        return mUpdater.replica();
    }

    /** Completes after the first full read, or the first changes from a peer. */
    public CompletableFuture<Void> loaded() {
        return mLoaded;
    }

    /** Time since the last response of the store or newer changes from a peer. */
    public Duration age() {
        return mUpdater.age();
    }

    @Override
    public CompletableFuture<Void> start() {
        poll();
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> stop() {
        mStopped = true;
        mTimer.cancel();
        return CompletableFuture.completedFuture(null);
    }

    private void poll() {
        if (mStopped) {
            return;
        }
        mPolling = true;
        Read read = mReads.next();
        StorePosition changeBefore = mUpdater.lastChange();
        // As a stage, so that an error of the client is a failed poll and does not end the polls.
        CompletableFuture.completedFuture(read)
                .thenCompose(mReader::read)
                .whenComplete((ignored, failure) -> pollCompleted(read, changeBefore, failure));
    }

    private void pollCompleted(Read read, StorePosition changeBefore, Throwable failure) {
        mPolling = false;
        if (failure == null) {
            mTiming.completed(true);
            if (mUpdater.lastChange().isAfter(changeBefore)) {
                announce();
            }
            if (mReads.behind()) {
                pollAtOnce();
            } else {
                scheduleDecision();
            }
            return;
        }
        Throwable root = Futures.rootFailure(failure);
        if (root instanceof HistoryLostException) {
            sLogger.atInfo().log("%s; reading the whole store again", root.getMessage());
            mReads.contentsNeeded();
            pollAtOnce();
            return;
        }
        mReads.failed(read);
        mTiming.completed(false);
        if (mAvailability.failed()) {
            sLogger.atWarning().log("key-value store is unavailable: %s", root);
            announce();
        }
        scheduleDecision();
        fetchDuringOutage();
    }

    /** Tells peers at once, which otherwise hear of the change with the next report. */
    private void announce() {
        if (mTiming.hasReaders()) {
            mAnnouncement.run();
        }
    }

    /** Schedules the next poll, or the time at which to decide about it again. */
    private void scheduleDecision() {
        if (!mPolling) {
            schedule(mTiming.untilDecision(), this::decide);
        }
    }

    private void decide() {
        if (mStopped) {
            return;
        }
        mTiming.logRole();
        if (mTiming.isDue()) {
            poll();
            return;
        }
        scheduleDecision();
        if (mAvailability.isFailing()) {
            fetchDuringOutage();
        } else if (mClock.nanoTime() - mFetchedNanos >= FETCH_INTERVAL.toNanos()) {
            fetchFromPeer();
        }
    }

    private void fetchDuringOutage() {
        mPeers.fetchDuringOutage(this::loadCompleted);
    }

    private void loadCompleted() {
        mTiming.loaded();
        mLoaded.complete(null);
    }

    private void pollAtOnce() {
        mPolling = true;
        schedule(Duration.ZERO, this::poll);
    }

    private void schedule(Duration delay, Runnable action) {
        if (!mStopped) {
            mTimer.cancel();
            mTimer = mClock.schedule(delay, action);
        }
    }
}
