package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.testing.PausedClock;

/** Guards against calls to the store that grow with the fleet, and against outdated fleet views. */
final class StoreSyncTests {

    private static final String PREFIX = "upstreams/";

    private final PausedClock mClock = new PausedClock();
    private final FleetView mView = new FleetView(mClock);
    private final List<Changes> mPeerChanges = new ArrayList<>();
    private long mPolls;
    private int mInstances = 4;

    /** Store in which nothing changes after the first read. */
    private final class QuietFeed implements ChangeFeed {

        @Override
        public CompletableFuture<Changes> readPage(String prefix, String afterKey) {
            return response(List.of(entry("u1", 1, 5)), 10);
        }

        @Override
        public CompletableFuture<Changes> changesAfter(long revision) {
            mPolls++;
            return response(List.of(), revision);
        }

        private CompletableFuture<Changes> response(List<KeyValue> items, long revision) {
            return CompletableFuture.completedFuture(new Changes(items, revision, true));
        }
    }

    /** Takes the value as the start time of the upstream; an empty one removes it. */
    private static final class Decoder implements FleetDecoder {

        @Override
        public List<String> prefixes() {
            return List.of(PREFIX);
        }

        @Override
        public FleetChange decode(KeyValue item) {
            String id = item.key().substring(PREFIX.length());
            Optional<Upstream> upstream =
                    Optional.of(item.value())
                            .filter(value -> !value.isEmpty())
                            .map(Long::valueOf)
                            .map(starts -> upstream(id, starts));
            return new FleetChange.UpstreamEntry(id, upstream, Optional.empty());
        }

        private static Upstream upstream(String id, long starts) {
            return new Upstream(id, "s", new HostPort("10.0.0.1", 80), "a", 4, false, starts);
        }
    }

    private static KeyValue entry(String id, int starts, long revision) {
        return new KeyValue(PREFIX + id, Integer.toString(starts), revision, 1);
    }

    private StoreSync started() {
        StoreSync sync =
                new StoreSync(
                        mClock,
                        new QuietFeed(),
                        new Decoder(),
                        List.of(),
                        mView,
                        revision ->
                                mPeerChanges.stream()
                                        .findFirst()
                                        .map(CompletableFuture::completedFuture),
                        () -> mInstances,
                        item -> {});
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

        assertThat(pollsInAMinute()).isAtMost(34);
    }

    @Test
    void changesOfAPeerAreAppliedAtOnce() {
        StoreSync sync = started();
        mPeerChanges.add(new Changes(List.of(new KeyValue(PREFIX + "u1", "", 12, 0)), 14, true));

        sync.peerProgressed(new ReplicaProgress(14, 12));

        assertThat(mView.usable("s")).isEmpty();
        assertThat(sync.progress()).isEqualTo(new ReplicaProgress(14, 12));
    }

    @Test
    void changesThatWereAppliedAreNotFetched() {
        StoreSync sync = started();
        mPeerChanges.add(new Changes(List.of(), 14, true));

        sync.peerProgressed(new ReplicaProgress(14, 9));

        assertThat(sync.progress().revision()).isEqualTo(10);
    }

    /** Otherwise each heartbeat makes every instance fetch changes from its peers. */
    @Test
    void aHeartbeatIsNotReportedAsAChange() {
        StoreSync sync = started();
        mPeerChanges.add(new Changes(List.of(entry("u1", 1, 15)), 15, true));

        sync.peerProgressed(new ReplicaProgress(15, 12));

        assertThat(sync.progress()).isEqualTo(new ReplicaProgress(15, 5));
    }
}
