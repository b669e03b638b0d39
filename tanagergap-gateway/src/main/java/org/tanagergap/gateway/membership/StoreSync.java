package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.tanagergap.api.lifecycle.Service;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.api.time.Timer;
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

    /**
     * Shortest time from a response to the next poll. A draining upstream must receive no new
     * requests 2 s after its notice, and two polls may fail in that time.
     */
    private static final Duration MIN_POLL_INTERVAL = Duration.ofMillis(600);

    /** Up to this number of instances each one polls at the shortest interval. */
    private static final int MAX_INSTANCES_AT_MIN_INTERVAL = 5;

    /**
     * Longest interval in shortest ones: a change is read within 2 s even if no peer reports it.
     */
    private static final int MAX_INTERVAL_FACTOR = 3;

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(250);

    /** Removals this soon after an outage may be leases that expired during the outage. */
    private static final Duration EXPIRY_WINDOW = Duration.ofMillis(2200);

    /**
     * Peers that are ahead for longer are served by a store that is unavailable to this instance.
     */
    private static final Duration PEERS_AHEAD_THRESHOLD = Duration.ofMillis(1200);

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final ChangeFeed mFeed;
    private final StoreReplica mReplica;
    private final FleetView mView;
    private final PeerReplicas mPeerReplicas;
    private final IntSupplier mInstances;
    private final List<String> mPrefixes;
    private final CompletableFuture<Void> mLoaded = new CompletableFuture<>();
    private boolean mStopped;
    private boolean mNeedsFullRead = true;
    private boolean mFetchingFromPeer;
    private long mLastChange;
    private Optional<Long> mFailingSinceNanos = Optional.empty();
    private Optional<Long> mRecoveredNanos = Optional.empty();
    private Optional<Long> mPeersAheadSinceNanos = Optional.empty();
    private long mLastUpdateNanos;
    private Timer mTimer = () -> {};

    /**
     * Creates a synchronization that is not started.
     *
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
            Consumer<KeyValue> ownItems) {
        mClock = Objects.requireNonNull(clock, "clock must not be null");
        mFeed = Objects.requireNonNull(feed, "feed must not be null");
        mView = Objects.requireNonNull(view, "view must not be null");
        mPeerReplicas = Objects.requireNonNull(peers, "peers must not be null");
        mInstances = Objects.requireNonNull(instances, "instances must not be null");
        mPrefixes = new ArrayList<>(decoder.prefixes());
        mPrefixes.addAll(ownPrefixes);
        mReplica =
                new StoreReplica(
                        mPrefixes,
                        item -> {
                            ownItems.accept(item);
                            long before = view.changes();
                            view.accept(decoder.decode(item), removalMayBeExpiry());
                            if (view.changes() != before) {
                                mLastChange = Math.max(mLastChange, item.modRevision());
                            }
                        });
    }

    /** Progress of the local replica. */
    public ReplicaProgress progress() {
        return new ReplicaProgress(mReplica.revision(), mLastChange);
    }

    /** Fetches the changes of a peer whose replica has a newer change than the local one. */
    public void peerProgressed(ReplicaProgress peer) {
        boolean newer = peer.lastChange() > mReplica.revision();
        if (!newer
                || mFetchingFromPeer
                || mStopped
                || mNeedsFullRead
                || mFailingSinceNanos.isPresent()) {
            return;
        }
        mPeerReplicas
                .changesAfter(mReplica.revision())
                .ifPresent(
                        response -> {
                            mFetchingFromPeer = true;
                            response.whenComplete(this::peerChangesReceived);
                        });
    }

    private void peerChangesReceived(Changes changes, Throwable failure) {
        mFetchingFromPeer = false;
        if (failure != null) {
            sLogger.atFine().log(
                    "fetching changes from a peer failed: %s", Futures.rootFailure(failure));
        } else {
            mReplica.apply(changes);
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

    /** Returns true if a removal may be a lease that expired while the store was unavailable. */
    private boolean removalMayBeExpiry() {
        boolean recentlyRecovered =
                mRecoveredNanos.filter(t -> elapsedNanos(t) < EXPIRY_WINDOW.toNanos()).isPresent();
        return (mFailingSinceNanos.isPresent() || recentlyRecovered) && !storeServedPeers();
    }

    /**
     * Returns true if peers received changes from the store while this instance did not. After an
     * outage for all instances a peer may be ahead for a moment, which does not count.
     */
    private boolean storeServedPeers() {
        return mPeersAheadSinceNanos
                .filter(t -> elapsedNanos(t) > PEERS_AHEAD_THRESHOLD.toNanos())
                .isPresent();
    }

    private long elapsedNanos(long nanos) {
        return mClock.nanoTime() - nanos;
    }

    private void poll() {
        if (mStopped) {
            return;
        }
        mView.removeExpired(storeServedPeers());
        CompletableFuture<Void> completed =
                mNeedsFullRead
                        ? readAll()
                        : mFeed.changesAfter(mReplica.revision()).thenAccept(this::apply);
        completed.whenComplete((ignored, failure) -> pollCompleted(failure));
    }

    private void apply(Changes changes) {
        recordStoreResponse();
        mReplica.apply(changes);
    }

    private CompletableFuture<Void> readAll() {
        List<KeyValue> items = new ArrayList<>();
        CompletableFuture<Long> revision = CompletableFuture.completedFuture(Long.MAX_VALUE);
        for (String prefix : mPrefixes) {
            revision =
                    revision.thenCompose(
                            lowest ->
                                    readPrefix(prefix, "", items).thenApply(r -> lower(lowest, r)));
        }
        return revision.thenAccept(
                lowest -> {
                    recordStoreResponse();
                    mNeedsFullRead = false;
                    // Pages are not one snapshot: the next poll reads the changes since the first
                    // page.
                    mReplica.replace(items, lowest);
                    mLoaded.complete(null);
                });
    }

    private CompletableFuture<Long> readPrefix(
            String prefix, String afterKey, List<KeyValue> items) {
        return mFeed.readPage(prefix, afterKey)
                .thenCompose(
                        page -> {
                            items.addAll(page.items());
                            if (page.complete() || page.items().isEmpty()) {
                                return CompletableFuture.completedFuture(page.revision());
                            }
                            String last = page.items().get(page.items().size() - 1).key();
                            return readPrefix(prefix, last, items)
                                    .thenApply(next -> lower(page.revision(), next));
                        });
    }

    private static long lower(long a, long b) {
        return Math.min(a, b);
    }

    private void recordStoreResponse() {
        long now = mClock.nanoTime();
        mLastUpdateNanos = now;
        if (mFailingSinceNanos.isPresent()) {
            long outageNanos = now - mFailingSinceNanos.get();
            sLogger.atInfo().log(
                    "key-value store is available again after %d ms", outageNanos / 1_000_000);
            mFailingSinceNanos = Optional.empty();
            mRecoveredNanos = Optional.of(now);
            mView.storeRecovered();
        }
    }

    private void pollCompleted(Throwable failure) {
        if (failure == null) {
            schedule(pollInterval());
            return;
        }
        Throwable root = Futures.rootFailure(failure);
        if (root instanceof HistoryLostException) {
            sLogger.atInfo().log("%s; reading the whole store again", root.getMessage());
            mNeedsFullRead = true;
            schedule(Duration.ZERO);
            return;
        }
        if (mFailingSinceNanos.isEmpty()) {
            mFailingSinceNanos = Optional.of(mClock.nanoTime());
            mPeersAheadSinceNanos = Optional.empty();
            sLogger.atWarning().log("key-value store is unavailable: %s", root.getMessage());
        }
        mPeerReplicas
                .changesAfter(mReplica.revision())
                .ifPresent(
                        response -> response.whenComplete((c, f) -> fallbackChangesReceived(c, f)));
        schedule(RETRY_INTERVAL);
    }

    private void fallbackChangesReceived(Changes changes, Throwable failure) {
        if (failure != null) {
            sLogger.atFine().log(
                    "fetching changes from a peer during the outage failed: %s",
                    Futures.rootFailure(failure));
            return;
        }
        if (changes.revision() > mReplica.revision()) {
            mLastUpdateNanos = mClock.nanoTime();
            mPeersAheadSinceNanos = mPeersAheadSinceNanos.or(() -> Optional.of(mLastUpdateNanos));
            mReplica.apply(changes);
            mLoaded.complete(null);
        }
    }

    private Duration pollInterval() {
        double loadFactor = (double) mInstances.getAsInt() / MAX_INSTANCES_AT_MIN_INTERVAL;
        double factor = Math.max(1, Math.min(MAX_INTERVAL_FACTOR, loadFactor));
        return Duration.ofMillis((long) (MIN_POLL_INTERVAL.toMillis() * factor));
    }

    private void schedule(Duration delay) {
        if (!mStopped) {
            mTimer = mClock.schedule(delay, this::poll);
        }
    }
}
