package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.api.time.RuntimeClock;
import org.tanagergap.decisions.replication.ReplicaUpdate;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.runtime.log.LogKeys;

/**
 * Applies what the store and peers send to the local replica, and from there to the view of the
 * fleet. Confined to the event loop.
 */
final class ReplicaUpdater {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final RuntimeClock mClock;
    private final FleetDecoder mDecoder;
    private final FleetView mView;
    private final StoreAvailability mAvailability;
    private final StoreChangeListener mListener;
    private final StoreReplica mReplica;
    private boolean mReplacingAfterRestore;
    private StorePosition mLastChange = StorePosition.NONE;
    private UpdateSource mSource = new UpdateSource(UpdateSource.STORE, Duration.ZERO);
    private long mUpdatedNanos;

    ReplicaUpdater(
            RuntimeClock clock,
            FleetDecoder decoder,
            List<String> prefixes,
            FleetView view,
            StoreAvailability availability,
            StoreChangeListener listener) {
        mClock = clock;
        mDecoder = decoder;
        mUpdatedNanos = clock.nanoTime();
        mView = view;
        mAvailability = availability;
        mListener = listener;
        mReplica = new StoreReplica(prefixes, this::itemChanged);
    }

    StoreReplica replica() {
        return mReplica;
    }

    StorePosition position() {
        return mReplica.position();
    }

    /** Position of the last change that affected the fleet. */
    StorePosition lastChange() {
        return mLastChange;
    }

    /** Records that the sender has shown the state of the store; its changes are applied next. */
    void updatedBy(String sender) {
        mSource = new UpdateSource(sender, age());
        mUpdatedNanos = mClock.nanoTime();
    }

    /** Time since the last update. */
    Duration age() {
        return Duration.ofNanos(mClock.nanoTime() - mUpdatedNanos);
    }

    /** Applies the changes that a peer sent after the requested position, or all its items. */
    void acceptPeerChanges(StorePosition requested, PeerChanges changes) {
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

    /** Replaces the contents by those of the replica's or a later history. */
    void replace(List<KeyValue> items, StorePosition position) {
        StorePosition previous = mReplica.position();
        boolean restored =
                !previous.equals(StorePosition.NONE) && position.isInLaterEpoch(previous);
        if (restored) {
            sLogger.atWarning().log(
                    "store was restored from a backup: revision %s replaces %s",
                    position, previous);
            mAvailability.restored();
            mView.storeRecovered(mClock.nanoTime());
        }
        mReplacingAfterRestore = restored;
        mReplica.replace(items, position);
        mReplacingAfterRestore = false;
        if (restored) {
            mLastChange = mLastChange.max(position);
            mListener.storeRestored();
        }
    }

    static void logIgnored(StorePosition position) {
        sLogger.atInfo().log("response at %s is ignored: the store was restored", position);
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
        int keptBefore = mView.keptUpstreams();
        FleetChange change = mDecoder.decode(item);
        mView.accept(change, origin());
        boolean changed = mView.changes() != before;
        if (changed) {
            long epoch = mReplica.position().epoch();
            mLastChange = mLastChange.max(new StorePosition(epoch, item.modRevision()));
        }
        boolean kept = mView.keptUpstreams() > keptBefore;
        if ((changed || kept) && change instanceof FleetChange.UpstreamEntry entry) {
            logDeparture(entry, item.modRevision(), kept);
        }
    }

    private void logDeparture(FleetChange.UpstreamEntry entry, long revision, boolean kept) {
        if (entry.upstream().filter(upstream -> !upstream.draining()).isPresent()) {
            return;
        }
        sLogger.atInfo()
                .with(LogKeys.UPSTREAM, entry.id())
                .log(
                        "upstream entry %s at revision %d, learned from %s %d ms after the previous"
                                + " update%s",
                        entry.upstream().isPresent() ? "is draining" : "was removed",
                        revision,
                        mSource.sender(),
                        mSource.sincePrevious().toMillis(),
                        kept ? "; the upstream is kept: " + mAvailability.expiryReason() : "");
    }

    private ChangeOrigin origin() {
        if (mReplacingAfterRestore) {
            return ChangeOrigin.RESTORE;
        }
        return mAvailability.removalMayBeExpiry() ? ChangeOrigin.OUTAGE : ChangeOrigin.WRITE;
    }
}
