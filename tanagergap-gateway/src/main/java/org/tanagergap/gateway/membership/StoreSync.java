package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.function.IntSupplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
import org.tanagergap.decisions.replication.ReadSchedule;
import org.tanagergap.decisions.replication.ReadSchedule.Read;
import org.tanagergap.decisions.replication.ReplicaUpdate;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.HistoryLostException;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.runtime.async.Futures;

/**
 * Keeps the local replica up to date: one full read, then polls for changes at an interval that
 * grows with the number of instances. Instances fetch changes from each other, so that the number
 * of calls to the store does not grow with the fleet. While the store is unavailable, peers are
 * polled instead. Confined to the event loop.
 */
public final class StoreSync implements Service {

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final ChangeFeed mFeed;
    private final StoreReader mReader;
    private final StoreReplica mReplica;
    private final StoreAvailability mAvailability;
    private final FleetView mView;
    private final FleetDecoder mDecoder;
    private final PeerReplicas mPeerReplicas;
    private final IntSupplier mInstances;
    private final StoreChangeListener mListener;
    private final ReadSchedule mReads = new ReadSchedule();
    private final CompletableFuture<Void> mLoaded = new CompletableFuture<>();
    private boolean mStopped;
    private boolean mFetchingFromPeer;
    private boolean mReplacingAfterRestore;
    private StorePosition mLastChange = StorePosition.NONE;
    private long mLastUpdateNanos;
    private Timer mTimer = () -> {};

    /**
     * Creates a synchronization that is not started.
     *
     * @param ownPrefixes prefixes of keys that the decoder does not read
     * @param instances number of instances that report their progress to each other
     */
    public StoreSync(
            RuntimeClock clock,
            ChangeFeed feed,
            FleetDecoder decoder,
            List<String> ownPrefixes,
            FleetView view,
            PeerReplicas peers,
            IntSupplier instances,
            StoreChangeListener listener) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mFeed = Objects.requireNonNull(feed, "feed must not be null");
        mDecoder = Objects.requireNonNull(decoder, "decoder must not be null");
        mView = Objects.requireNonNull(view, "view must not be null");
        mPeerReplicas = Objects.requireNonNull(peers, "peers must not be null");
        mInstances = Objects.requireNonNull(instances, "instances must not be null");
        mListener = Objects.requireNonNull(listener, "listener must not be null");
        List<String> prefixes = new ArrayList<>(decoder.prefixes());
        prefixes.addAll(ownPrefixes);
        mReader = new StoreReader(feed, prefixes);
        mReplica = new StoreReplica(prefixes, this::itemChanged);
        mAvailability = new StoreAvailability(clock);
    }

    /** Applies an item; one that fails is ignored, so that the others still take effect. */
    private void itemChanged(KeyValue item) {
        try {
            apply(item);
        } catch (RuntimeException | StackOverflowError e) {
            sLogger.atSevere().withCause(e).log(
                    "store item %s cannot be applied and is ignored", item.key());
        }
    }

    private void apply(KeyValue item) {
        mListener.itemChanged(item);
        long before = mView.changes();
        mView.accept(mDecoder.decode(item), origin());
        if (mView.changes() != before) {
            long epoch = mReplica.position().epoch();
            mLastChange = mLastChange.max(new StorePosition(epoch, item.modRevision()));
        }
    }

    private ChangeOrigin origin() {
        if (mReplacingAfterRestore) {
            return ChangeOrigin.RESTORE;
        }
        return mAvailability.removalMayBeExpiry() ? ChangeOrigin.OUTAGE : ChangeOrigin.WRITE;
    }

    /** Progress of the local replica. */
    public ReplicaProgress progress() {
        return new ReplicaProgress(mReplica.position(), mLastChange);
    }

    /** Fetches the changes of a peer whose replica has a newer change than the local one. */
    public void peerProgressed(ReplicaProgress peer) {
        boolean newer = peer.lastChange().isAfter(mReplica.position());
        if (!newer
                || mFetchingFromPeer
                || mStopped
                || mReads.behind()
                || mAvailability.isFailing()) {
            return;
        }
        StorePosition requested = mReplica.position();
        mPeerReplicas
                .changesAfter(requested)
                .ifPresent(
                        response -> {
                            mFetchingFromPeer = true;
                            response.whenComplete((c, f) -> peerChangesReceived(requested, c, f));
                        });
    }

    private void peerChangesReceived(
            StorePosition requested, PeerChanges changes, Throwable failure) {
        mFetchingFromPeer = false;
        if (failure != null) {
            sLogger.atFine().log(
                    "fetching changes from a peer failed: %s", Futures.rootFailure(failure));
        } else {
            acceptPeerChanges(requested, changes);
        }
    }

    private void acceptPeerChanges(StorePosition requested, PeerChanges changes) {
        StorePosition position = changes.position();
        ReplicaUpdate update =
                changes.allItems()
                        ? ReplicaUpdate.forContents(mReplica.position(), List.of(position))
                        : ReplicaUpdate.forChanges(requested, mReplica.position(), position);
        switch (update) {
            case APPLY -> mReplica.apply(new Changes(changes.items(), position, true));
            case REPLACE -> replace(changes.items(), position);
            case READ_ALL, IGNORE -> logIgnored(position);
        }
    }

    /** Local replica of the store, which is served to peers. */
    public StoreReplica replica() {
        return mReplica;
    }

    /** Completes after the first full read, or the first changes from a peer. */
    public CompletableFuture<Void> loaded() {
        return mLoaded;
    }

    /** Time since the last response of the store or newer changes from a peer. */
    public Duration age() {
        return Duration.ofNanos(mClock.nanoTime() - mLastUpdateNanos);
    }

    @Override
    public CompletableFuture<Void> start() {
        mLastUpdateNanos = mClock.nanoTime();
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
        mView.removeExpired(mAvailability.storeServedPeers());
        Read read = mReads.next();
        // As a stage, so that an error of the client is a failed poll and does not end the polls.
        CompletableFuture.completedFuture(read)
                .thenCompose(this::read)
                .whenComplete((ignored, failure) -> pollCompleted(read, failure));
    }

    private CompletableFuture<Void> read(Read read) {
        StorePosition requested = mReplica.position();
        return switch (read) {
            case CONFIGURATION ->
                    mFeed.readPage(mDecoder.operatorPrefix(), "")
                            .thenAccept(this::configurationReceived);
            case CHANGES ->
                    mFeed.changesAfter(requested.revision())
                            .thenAccept(changes -> changesReceived(requested, changes));
            case CONTENTS -> mReader.readAll().thenAccept(this::contentsReceived);
        };
    }

    private void configurationReceived(Changes page) {
        StorePosition replica = mReplica.position();
        switch (ReplicaUpdate.forChanges(replica, replica, page.position())) {
            case APPLY -> mReplica.applyAhead(page.items());
            case READ_ALL -> mReads.contentsNeeded();
            case REPLACE, IGNORE -> logIgnored(page.position());
        }
        mReads.succeeded(Read.CONFIGURATION);
    }

    private void changesReceived(StorePosition requested, Changes changes) {
        recordStoreResponse();
        mReads.succeeded(Read.CHANGES);
        switch (ReplicaUpdate.forChanges(requested, mReplica.position(), changes.position())) {
            case APPLY -> mReplica.apply(changes);
            case READ_ALL -> mReads.contentsNeeded();
            case REPLACE, IGNORE -> logIgnored(changes.position());
        }
    }

    private void contentsReceived(StoreReader.Contents contents) {
        recordStoreResponse();
        switch (ReplicaUpdate.forContents(mReplica.position(), contents.pages())) {
            case REPLACE -> {
                // Pages are not one snapshot: the next poll reads the changes since the first page.
                replace(contents.items(), contents.position());
                mReads.succeeded(Read.CONTENTS);
                mLoaded.complete(null);
            }
            case APPLY, IGNORE -> {
                mReads.succeeded(Read.CONTENTS);
                logIgnored(contents.position());
            }
            case READ_ALL ->
                    sLogger.atInfo().log("store was restored between two pages of a full read");
        }
    }

    private static void logIgnored(StorePosition position) {
        sLogger.atInfo().log("response at %s is ignored: the store was restored", position);
    }

    private void replace(List<KeyValue> items, StorePosition position) {
        StorePosition previous = mReplica.position();
        boolean restored =
                !previous.equals(StorePosition.NONE) && position.isInLaterEpoch(previous);
        if (restored) {
            sLogger.atWarning().log(
                    "store was restored from a backup: revision %s replaces %s",
                    position, previous);
            mAvailability.restored();
            mView.storeRecovered();
        }
        mReplacingAfterRestore = restored;
        mReplica.replace(items, position);
        mReplacingAfterRestore = false;
        if (restored) {
            mLastChange = mLastChange.max(position);
            mListener.storeRestored();
        }
    }

    private void recordStoreResponse() {
        mLastUpdateNanos = mClock.nanoTime();
        mAvailability
                .responded()
                .ifPresent(
                        outage -> {
                            sLogger.atInfo().log(
                                    "key-value store is available again after %d ms",
                                    outage.toMillis());
                            mView.storeRecovered();
                        });
    }

    private void pollCompleted(Read read, Throwable failure) {
        if (failure == null) {
            schedule(mReads.behind() ? Duration.ZERO : PollInterval.of(mInstances.getAsInt()));
            return;
        }
        Throwable root = Futures.rootFailure(failure);
        if (root instanceof HistoryLostException) {
            sLogger.atInfo().log("%s; reading the whole store again", root.getMessage());
            mReads.contentsNeeded();
            schedule(Duration.ZERO);
            return;
        }
        mReads.failed(read);
        if (mAvailability.failed()) {
            sLogger.atWarning().log("key-value store is unavailable: %s", root);
        }
        schedule(RETRY_INTERVAL);
        StorePosition requested = mReplica.position();
        mPeerReplicas
                .changesAfter(requested)
                .ifPresent(
                        response ->
                                response.whenComplete(
                                        (c, f) -> fallbackChangesReceived(requested, c, f)));
    }

    private void fallbackChangesReceived(
            StorePosition requested, PeerChanges changes, Throwable failure) {
        if (failure != null) {
            sLogger.atFine().log(
                    "fetching changes from a peer during the outage failed: %s",
                    Futures.rootFailure(failure));
            return;
        }
        if (changes.position().isAfter(mReplica.position())) {
            mLastUpdateNanos = mClock.nanoTime();
            mAvailability.peerWasAhead();
            acceptPeerChanges(requested, changes);
            mLoaded.complete(null);
        }
    }

    private void schedule(Duration delay) {
        if (!mStopped) {
            mTimer = mClock.schedule(delay, this::poll);
        }
    }
}
