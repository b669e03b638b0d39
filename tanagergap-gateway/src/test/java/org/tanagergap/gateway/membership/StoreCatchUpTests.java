package org.tanagergap.gateway.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tanagergap.api.store.StorePosition;
import org.tanagergap.decisions.replication.ReplicationTiming;
import org.tanagergap.decisions.replication.StoreReaders;
import org.tanagergap.platform.keyvalue.ChangeFeed;
import org.tanagergap.platform.keyvalue.Changes;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueException;
import org.tanagergap.testing.PausedClock;

/**
 * Guards withdrawn keys against being accepted after an outage in which more changed than the store
 * can send in one response.
 */
final class StoreCatchUpTests {

    private static final String CONFIGURATION = "configuration";
    private static final String UPSTREAM_PREFIX = "upstreams/";
    private static final int MAX_RESPONSE_MEGABYTES = 4;
    private static final Duration MILLIS_PER_MEGABYTE = Duration.ofMillis(100);
    private static final int MAX_SECONDS = 5;

    private static final ReplicationTiming TIMING =
            new ReplicationTiming(ReplicationTiming.DEFAULT_LIMIT);

    private final PausedClock mClock = new PausedClock();
    private final FleetView mView = new FleetView(mClock);
    private final List<String> mApplied = new ArrayList<>();
    private boolean mUnavailable;
    private long mRevision = 10;
    private int mMissedMegabytes;

    /** Store whose configuration is a page of 1 MB and whose responses take time by their size. */
    private final class PacedFeed implements ChangeFeed {

        @Override
        public CompletableFuture<Changes> readPage(String prefix, String afterKey) {
            String key = prefix.equals(CONFIGURATION) ? prefix : UPSTREAM_PREFIX + "u1";
            return response(List.of(item(key)), 1);
        }

        @Override
        public CompletableFuture<Changes> changesAfter(long revision) {
            int megabytes = revision < mRevision ? mMissedMegabytes : 0;
            List<KeyValue> items =
                    megabytes == 0
                            ? List.of()
                            : List.of(item(CONFIGURATION), item(UPSTREAM_PREFIX + "u1"));
            return response(items, megabytes);
        }

        private CompletableFuture<Changes> response(List<KeyValue> items, int megabytes) {
            if (mUnavailable || megabytes > MAX_RESPONSE_MEGABYTES) {
                return CompletableFuture.failedFuture(
                        new KeyValueException("unavailable or too large", false, null));
            }
            CompletableFuture<Changes> response = new CompletableFuture<>();
            Changes changes = new Changes(items, new StorePosition(1, mRevision), true);
            mClock.schedule(
                    MILLIS_PER_MEGABYTE.multipliedBy(megabytes), () -> response.complete(changes));
            return response;
        }

        private KeyValue item(String key) {
            return new KeyValue(key, "version " + mRevision, mRevision, 1);
        }
    }

    private static final class Decoder implements FleetDecoder {

        @Override
        public List<String> prefixes() {
            return List.of(CONFIGURATION, UPSTREAM_PREFIX);
        }

        @Override
        public String operatorPrefix() {
            return CONFIGURATION;
        }

        @Override
        public FleetChange decode(KeyValue item) {
            return new FleetChange.Irrelevant();
        }
    }

    private final class RecordingListener implements StoreChangeListener {

        @Override
        public void itemChanged(KeyValue item) {
            mApplied.add(item.key());
        }

        @Override
        public void storeRestored() {}
    }

    private StoreSync started() {
        StoreSync sync =
                new StoreSync(
                        mClock,
                        new PacedFeed(),
                        new Decoder(),
                        List.of(),
                        mView,
                        position -> Optional.empty(),
                        () -> 1,
                        new StoreReaders("g1", "a", TIMING),
                        TIMING,
                        new RecordingListener());
        sync.start();
        mClock.advance(Duration.ofSeconds(1));
        return sync;
    }

    @ParameterizedTest
    @CsvSource({"1, 500", "4, 5500", "5, 500", "18, 5500", "64, 20000"})
    void theConfigurationIsInForceSoonAfterTheStoreIsBack(int megabytes, long awayMillis) {
        StoreSync sync = started();
        mUnavailable = true;
        mClock.advance(Duration.ofMillis(awayMillis));
        mRevision++;
        mMissedMegabytes = megabytes;
        mApplied.clear();

        mUnavailable = false;
        mClock.advance(Duration.ofMillis(400));

        assertWithMessage("after 400 ms").that(mApplied).contains(CONFIGURATION);
        mClock.advance(Duration.ofSeconds(MAX_SECONDS));
        assertThat(mApplied).contains(UPSTREAM_PREFIX + "u1");
        assertThat(sync.progress().position().revision()).isEqualTo(mRevision);
    }

    /** Many versions of a large configuration between two polls. */
    @ParameterizedTest
    @CsvSource({"5", "64"})
    void changesThatAreTooLargeDoNotDelayTheConfiguration(int megabytes) {
        started();
        mRevision++;
        mMissedMegabytes = megabytes;
        mApplied.clear();

        mClock.advance(Duration.ofMillis(1300));

        assertThat(mApplied).contains(CONFIGURATION);
        mClock.advance(Duration.ofSeconds(MAX_SECONDS));
        assertThat(mApplied).contains(UPSTREAM_PREFIX + "u1");
    }
}
