package org.tanagergap.gateway.membership;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.replication.ReadSchedule;
import org.tanagergap.decisions.replication.ReadSchedule.Read;
import org.tanagergap.decisions.replication.ReplicaUpdate;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.Changes;

/** Reads from the store and applies the responses to the local replica. */
final class ReplicaReader {

    private static final FluentLogger sLogger = FluentLogger.forEnclosingClass();

    private final ChangeFeed mFeed;
    private final String mOperatorPrefix;
    private final StoreReader mContents;
    private final ReadSchedule mReads;
    private final ReplicaUpdater mUpdater;
    private final StoreAvailability mAvailability;
    private final Runnable mContentsReplaced;

    /**
     * Creates a reader.
     *
     * @param reads receives which reads succeeded and which ones are needed
     * @param contentsReplaced called after a full read has replaced the contents of the replica
     */
    ReplicaReader(
            ChangeFeed feed,
            String operatorPrefix,
            StoreReader contents,
            ReadSchedule reads,
            ReplicaUpdater updater,
            StoreAvailability availability,
            Runnable contentsReplaced) {
        mFeed = feed;
        mOperatorPrefix = operatorPrefix;
        mContents = contents;
        mReads = reads;
        mUpdater = updater;
        mAvailability = availability;
        mContentsReplaced = contentsReplaced;
    }

    /** Performs a read; the future completes when its response is applied. */
    CompletableFuture<Void> read(Read read) {
        StorePosition requested = mUpdater.position();
        return switch (read) {
            case OPERATOR_KEYS ->
                    mFeed.readPage(mOperatorPrefix, "").thenAccept(this::operatorKeysReceived);
            case CHANGES ->
                    mFeed.changesAfter(requested.revision())
                            .thenAccept(changes -> changesReceived(requested, changes));
            case CONTENTS -> mContents.readAll().thenAccept(this::contentsReceived);
        };
    }

    private void operatorKeysReceived(Changes page) {
        StorePosition replica = mUpdater.position();
        switch (ReplicaUpdate.forChanges(replica, replica, page.position())) {
            case APPLY -> mUpdater.replica().applyAhead(page.items());
            case READ_ALL -> mReads.contentsNeeded();
            case REPLACE, IGNORE -> ReplicaUpdater.logIgnored(page.position());
        }
        mReads.succeeded(Read.OPERATOR_KEYS);
    }

    private void changesReceived(StorePosition requested, Changes changes) {
        recordStoreResponse();
        mReads.succeeded(Read.CHANGES);
        switch (ReplicaUpdate.forChanges(requested, mUpdater.position(), changes.position())) {
            case APPLY -> mUpdater.replica().apply(changes);
            case READ_ALL -> mReads.contentsNeeded();
            case REPLACE, IGNORE -> ReplicaUpdater.logIgnored(changes.position());
        }
    }

    private void contentsReceived(StoreReader.Contents contents) {
        recordStoreResponse();
        switch (ReplicaUpdate.forContents(mUpdater.position(), contents.pages())) {
            case REPLACE -> {
                // Pages are not one snapshot: the next poll reads the changes since the first page.
                mUpdater.replace(contents.items(), contents.position());
                mReads.succeeded(Read.CONTENTS);
                mContentsReplaced.run();
            }
            case APPLY, IGNORE -> {
                mReads.succeeded(Read.CONTENTS);
                ReplicaUpdater.logIgnored(contents.position());
            }
            case READ_ALL ->
                    sLogger.atInfo().log("store was restored between two pages of a full read");
        }
    }

    private void recordStoreResponse() {
        mUpdater.updatedBy(UpdateSource.STORE);
        mAvailability.responded();
    }
}
