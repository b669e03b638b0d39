package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.replication.ReplicationTiming;
import org.tanagergap.decisions.replication.StoreReaders;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueException;
import org.tanagergap.runtime.settings.HostPort;
import org.tanagergap.testing.PausedClock;

/** Guards against errors of a handler that end the watch of the store or hide other items. */
final class StoreSyncFailureTests {

    private static final String PREFIX = "upstreams/";
    private static final String CONFIGURATION = "configuration";
    private static final String MALFORMED = PREFIX + "malformed";

    private static final ReplicationTiming TIMING =
            new ReplicationTiming(ReplicationTiming.DEFAULT_LIMIT);

    private final PausedClock mClock = new PausedClock();
    private final FleetView mView = new FleetView(mClock);
    private final List<KeyValue> mContents = new ArrayList<>();
    private final List<KeyValue> mChanges = new ArrayList<>();
    private Optional<Runnable> mDecoderFailure = Optional.empty();
    private Runnable mFeedFailure = () -> {};
    private PeerReplicas mPeers = position -> Optional.empty();
    private boolean mUnavailable;
    private long mRevision = 10;
    private int mPolls;

    private final class Feed implements ChangeFeed {

        @Override
        public CompletableFuture<Changes> readPage(String prefix, String afterKey) {
            mPolls++;
            return response(prefix.equals(CONFIGURATION) ? List.of() : mContents);
        }

        @Override
        public CompletableFuture<Changes> changesAfter(long revision) {
            mPolls++;
            mFeedFailure.run();
            return response(mChanges);
        }

        private CompletableFuture<Changes> response(List<KeyValue> items) {
            if (mUnavailable) {
                return CompletableFuture.failedFuture(
                        new KeyValueException("unavailable", false, null));
            }
            StorePosition position = new StorePosition(1, mRevision);
            return CompletableFuture.completedFuture(
                    new Changes(List.copyOf(items), position, true));
        }
    }

    private final class Decoder implements FleetDecoder {

        @Override
        public List<String> prefixes() {
            return List.of(PREFIX);
        }

        @Override
        public String operatorPrefix() {
            return CONFIGURATION;
        }

        @Override
        public FleetChange decode(KeyValue item) {
            if (item.key().equals(MALFORMED)) {
                mDecoderFailure.ifPresent(Runnable::run);
            }
            String id = item.key().substring(PREFIX.length());
            Upstream upstream =
                    new Upstream(id, "s", new HostPort("10.0.0.1", 80), "a", 4, false, 1);
            return new FleetChange.UpstreamEntry(id, Optional.of(upstream), Optional.empty());
        }
    }

    private static final class IgnoringListener implements StoreChangeListener {

        @Override
        public void itemChanged(KeyValue item) {}

        @Override
        public void storeRestored() {}
    }

    private static KeyValue item(String key, long revision) {
        return new KeyValue(key, "x", revision, 1);
    }

    private static void overflow() {
        throw new StackOverflowError();
    }

    private StoreSync started() {
        StoreSync sync =
                new StoreSync(
                        mClock,
                        new Feed(),
                        new Decoder(),
                        List.of(),
                        mView,
                        position -> mPeers.changesAfter(position),
                        () -> 1,
                        new StoreReaders("g1", "a", TIMING),
                        TIMING,
                        new IgnoringListener());
        sync.start();
        return sync;
    }

    @Test
    void anItemWhoseDecodingOverflowsTheStackDoesNotKeepAGatewayFromReadiness() {
        mDecoderFailure = Optional.of(StoreSyncFailureTests::overflow);
        mContents.add(item(PREFIX + "u1", 4));
        mContents.add(item(MALFORMED, 5));
        mContents.add(item(PREFIX + "u2", 6));

        StoreSync sync = started();

        assertThat(sync.loaded().isDone()).isTrue();
        assertThat(mView.usable("s")).hasSize(2);
    }

    @Test
    void anItemThatCannotBeAppliedDoesNotHideLaterChanges() {
        StoreSync sync = started();
        mDecoderFailure =
                Optional.of(
                        () -> {
                            throw new IllegalStateException("unexpected");
                        });
        mRevision = 12;
        mChanges.add(item(MALFORMED, 11));
        mChanges.add(item(PREFIX + "u1", 12));

        mClock.advance(Duration.ofSeconds(1));

        assertThat(mView.usable("s")).hasSize(1);
        assertThat(sync.progress().position().revision()).isEqualTo(12);
    }

    @Test
    void anErrorOfTheStoreClientDoesNotEndTheWatch() {
        started();
        mFeedFailure = StoreSyncFailureTests::overflow;
        mClock.advance(Duration.ofSeconds(1));
        mFeedFailure = () -> {};
        mRevision = 11;
        mChanges.add(item(PREFIX + "u1", 11));
        mContents.add(item(PREFIX + "u1", 11));

        mClock.advance(Duration.ofSeconds(1));

        assertThat(mView.usable("s")).hasSize(1);
    }

    @Test
    void anErrorOfTheRequestToAPeerDoesNotEndTheWatch() {
        started();
        mUnavailable = true;
        mPeers =
                position -> {
                    throw new StackOverflowError();
                };
        mClock.advance(Duration.ofSeconds(1));
        int polls = mPolls;

        mClock.advance(Duration.ofSeconds(1));

        assertThat(mPolls).isAtLeast(polls + 3);
    }
}
