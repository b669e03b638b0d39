package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.replication.ReplicationTiming;
import org.tanagergap.decisions.replication.StoreReaders;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.HistoryLostException;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.testing.PausedClock;

/** Guards against calls to the store that grow with the fleet, and against outdated fleet views. */
final class StoreSyncTests {

    private static final String PREFIX = "upstreams/";
    private static final String CONFIGURATION = "configuration";
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(700);

    private final PausedClock mClock = new PausedClock();
    private final FleetView mView = new FleetView(mClock);
    private final List<PeerChanges> mPeerChanges = new ArrayList<>();
    private long mPolls;
    private long mReads;
    private long mConfigurationReads;
    private long mEpoch = 1;
    private long mRevision = 10;
    private boolean mHistoryLost;
    private boolean mSilent;
    private int mRestores;
    private int mInstances = 4;
    private ReplicationTiming mTiming = new ReplicationTiming(ReplicationTiming.DEFAULT_LIMIT);

    /** Store in which nothing changes after the first read. */
    private final class QuietFeed implements ChangeFeed {

        @Override
        public CompletableFuture<Changes> readPage(String prefix, String afterKey) {
            if (prefix.equals(CONFIGURATION)) {
                mConfigurationReads++;
                return response(List.of(), mRevision);
            }
            mReads++;
            mHistoryLost = false;
            return response(List.of(entry("u1", 1, 5)), mRevision);
        }

        @Override
        public CompletableFuture<Changes> changesAfter(long revision) {
            mPolls++;
            if (mSilent) {
                CompletableFuture<Changes> timedOut = new CompletableFuture<>();
                mClock.schedule(
                        POLL_TIMEOUT,
                        () -> timedOut.completeExceptionally(new TimeoutException("no response")));
                return timedOut;
            }
            if (mHistoryLost) {
                return CompletableFuture.failedFuture(new HistoryLostException(revision));
            }
            return response(List.of(), revision);
        }

        private CompletableFuture<Changes> response(List<KeyValue> items, long revision) {
            return CompletableFuture.completedFuture(
                    new Changes(items, new StorePosition(mEpoch, revision), true));
        }
    }

    private final class CountingListener implements StoreChangeListener {

        @Override
        public void itemChanged(KeyValue item) {}

        @Override
        public void storeRestored() {
            mRestores++;
        }
    }

    private static ReplicaProgress progress(long epoch, long revision, long lastChange) {
        return new ReplicaProgress(
                new StorePosition(epoch, revision), new StorePosition(epoch, lastChange));
    }

    /** Report of a peer of an earlier version. */
    private static void reported(StoreSync sync, ReplicaProgress progress) {
        sync.peerReported("g2", progress, Optional.empty());
    }

    private static PeerChanges changes(long epoch, long revision, List<KeyValue> items) {
        return new PeerChanges(items, new StorePosition(epoch, revision), false);
    }

    private static PeerChanges allItems(long epoch, long revision, KeyValue... items) {
        return new PeerChanges(List.of(items), new StorePosition(epoch, revision), true);
    }

    private static KeyValue entry(String id, int starts, long revision) {
        return new KeyValue(PREFIX + id, Integer.toString(starts), revision, 1);
    }

    private StoreSync started() {
        StoreSync sync =
                new StoreSync(
                        mClock,
                        new QuietFeed(),
                        new UpstreamItemDecoder(PREFIX, CONFIGURATION),
                        List.of(),
                        mView,
                        revision ->
                                mPeerChanges.stream()
                                        .findFirst()
                                        .map(CompletableFuture::completedFuture),
                        () -> mInstances,
                        new StoreReaders("g1", "a", mTiming),
                        mTiming,
                        new CountingListener());
        sync.start();
        return sync;
    }

    private long pollsInAMinute() {
        started();
        mClock.advance(Duration.ofMinutes(1));
        return mPolls;
    }

    @Test
    void fewInstancesPollOftenEnoughForADrainingUpstream() {
        assertThat(pollsInAMinute()).isAtLeast(95);
    }

    /** Polls of 25 instances every 600 ms cost 3% of the value of a day. */
    @Test
    void manyInstancesPollLessOften() {
        mInstances = 25;
        mTiming = new ReplicationTiming(Duration.ofSeconds(3));

        assertThat(pollsInAMinute()).isAtMost(34);
    }

    @Test
    void changesOfAPeerAreAppliedAtOnce() {
        StoreSync sync = started();
        mPeerChanges.add(changes(1, 14, List.of(new KeyValue(PREFIX + "u1", "", 12, 0))));

        reported(sync, progress(1, 14, 12));

        assertThat(mView.usable("s")).isEmpty();
        assertThat(sync.progress()).isEqualTo(progress(1, 14, 12));
    }

    @Test
    void changesThatWereAppliedAreNotFetched() {
        StoreSync sync = started();
        mPeerChanges.add(changes(1, 14, List.of()));

        reported(sync, progress(1, 14, 9));

        assertThat(sync.progress().position().revision()).isEqualTo(10);
    }

    /** Otherwise each heartbeat makes every instance fetch changes from its peers. */
    @Test
    void aHeartbeatIsNotReportedAsAChange() {
        StoreSync sync = started();
        mPeerChanges.add(changes(1, 15, List.of(entry("u1", 1, 15))));

        reported(sync, progress(1, 15, 12));

        assertThat(sync.progress()).isEqualTo(progress(1, 15, 5));
    }

    @Test
    void aRestoredStoreThatStillHasTheRevisionIsReadAgainOnce() {
        StoreSync sync = started();
        mEpoch = 2;

        mClock.advance(Duration.ofSeconds(10));

        assertThat(mReads).isEqualTo(2);
        assertThat(mConfigurationReads).isEqualTo(1);
        assertThat(mRestores).isEqualTo(1);
        assertThat(sync.progress().position()).isEqualTo(new StorePosition(2, 10));
    }

    /** The watch of a revision that the restored store lacks once failed again and again. */
    @Test
    void aRestoredStoreThatLacksTheRevisionIsReadAgainOnce() {
        StoreSync sync = started();
        mEpoch = 2;
        mRevision = 4;
        mHistoryLost = true;

        mClock.advance(Duration.ofSeconds(10));

        assertThat(mReads).isEqualTo(2);
        assertThat(mConfigurationReads).isEqualTo(1);
        assertThat(sync.progress().position()).isEqualTo(new StorePosition(2, 4));
    }

    @Test
    void aPeerThatKnowsOfARestoreIsFollowed() {
        StoreSync sync = started();
        mPeerChanges.add(allItems(2, 4, entry("u1", 1, 3), entry("u2", 1, 4)));

        reported(sync, progress(2, 4, 4));

        assertThat(mView.usable("s")).hasSize(2);
        assertThat(mRestores).isEqualTo(1);
    }

    @Test
    void aPeerThatDoesNotKnowOfARestoreIsNotFollowed() {
        mEpoch = 2;
        StoreSync sync = started();
        mPeerChanges.add(changes(1, 90, List.of(entry("u2", 1, 88))));

        reported(sync, progress(1, 90, 88));

        assertThat(mView.usable("s")).hasSize(1);
        assertThat(sync.progress().position()).isEqualTo(new StorePosition(2, 10));
    }

    /** A response can arrive after a peer has told of the restore. */
    @Test
    void aResponseFromBeforeARestoreIsIgnored() {
        StoreSync sync = started();
        mPeerChanges.add(allItems(2, 4, entry("u2", 1, 4)));
        reported(sync, progress(2, 4, 4));

        mClock.advance(Duration.ofMillis(700));

        assertThat(sync.progress().position()).isEqualTo(new StorePosition(2, 4));
    }

    @Test
    void entriesThatARestoredStoreLacksAreUsedUntilTheyCanHaveBeenWrittenAgain() {
        StoreSync sync = started();
        mPeerChanges.add(allItems(2, 4, entry("u2", 1, 4)));
        reported(sync, progress(2, 4, 4));

        assertThat(mView.usable("s")).hasSize(2);
        mClock.advance(Duration.ofMillis(2900));
        assertThat(mView.usable("s")).hasSize(1);
    }

    @Test
    void aStoreThatIsSilentForAWhileKeepsTheFleetAndIsPolledAgain() {
        StoreSync sync = started();
        mSilent = true;
        mClock.advance(Duration.ofMillis(1400));
        assertThat(mView.usable("s")).hasSize(1);
        mSilent = false;
        long before = mPolls;
        mClock.advance(Duration.ofSeconds(3));

        assertThat(mPolls).isAtLeast(before + 3);
        assertThat(mReads).isEqualTo(1);
        assertThat(mConfigurationReads).isEqualTo(1);
        assertThat(mView.usable("s")).hasSize(1);
        assertThat(sync.loaded().isDone()).isTrue();
    }
}
