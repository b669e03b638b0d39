package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.util.function.BiConsumer;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.runtime.async.Futures;

/** Brings the local replica up to date from the replicas of peers. Confined to the event loop. */
final class PeerCatchUp {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final PeerReplicas mPeers;
    private final ReplicaUpdater mUpdater;
    private boolean mFetching;

    PeerCatchUp(PeerReplicas peers, ReplicaUpdater updater) {
        mPeers = peers;
        mUpdater = updater;
    }

    /**
     * Fetches changes from a peer unless a fetch is in progress.
     *
     * @param failed called if the peer did not send its changes
     */
    void fetch(Runnable failed) {
        if (mFetching) {
            return;
        }
        request(
                "fetching changes from a peer failed: %s",
                (requested, changes) -> {
                    if (changes.position().isAfter(mUpdater.position())) {
                        mUpdater.updatedBy(changes.sender());
                    }
                    mUpdater.acceptPeerChanges(requested, changes);
                },
                failed);
    }

    /**
     * Fetches changes from a peer, also while another peer has not answered.
     *
     * @param applied called after newer changes were applied; others are ignored
     */
    void fetchDuringOutage(Runnable applied) {
        request(
                "fetching changes from a peer during the outage failed: %s",
                (requested, changes) -> {
                    if (changes.position().isAfter(mUpdater.position())) {
                        mUpdater.updatedBy(changes.sender());
                        mUpdater.acceptPeerChanges(requested, changes);
                        applied.run();
                    }
                },
                () -> {});
    }

    private void request(
            String logMessage, BiConsumer<StorePosition, PeerChanges> received, Runnable failed) {
        StorePosition requested = mUpdater.position();
        mPeers.changesAfter(requested)
                .ifPresent(
                        response -> {
                            mFetching = true;
                            response.whenComplete(
                                    (changes, failure) -> {
                                        mFetching = false;
                                        if (failure == null) {
                                            received.accept(requested, changes);
                                            return;
                                        }
                                        sLogger.atFine().log(
                                                logMessage, Futures.rootFailure(failure));
                                        failed.run();
                                    });
                        });
    }
}
