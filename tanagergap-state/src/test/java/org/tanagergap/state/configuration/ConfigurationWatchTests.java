package org.tanagergap.state.configuration;

import static com.google.common.truth.Truth.assertThat;

import io.smallrye.mutiny.Multi;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.tanagergap.platform.keyvalue.KeyValue;
import org.tanagergap.platform.keyvalue.KeyValueStore;
import org.tanagergap.platform.keyvalue.Transaction;
import org.tanagergap.platform.keyvalue.TransactionResult;
import org.tanagergap.state.fake.FakeKeyValueStore;
import org.tanagergap.state.fake.SimulatedProcess;
import org.tanagergap.testing.PausedClock;

/** Guards against watches that read too much, or that miss a new version after a stall. */
class ConfigurationWatchTests {

    private final PausedClock mClock = new PausedClock();
    private final FakeKeyValueStore mStore = new FakeKeyValueStore(mClock);
    private final RecordingClient mClient =
            new RecordingClient(mStore.connect(new SimulatedProcess(mClock)));
    private final KeyValueConfigurationStore mConfigurations =
            new KeyValueConfigurationStore(mClient, mClock);
    private final List<Long> mVersions = new ArrayList<>();

    @BeforeEach
    void acceptAndWatch() {
        submit(0, "n-1");
        mConfigurations.watch().subscribe().with(stored -> mVersions.add(stored.version()));
        mClock.advance(Duration.ofSeconds(1));
    }

    /** Reading a document of 1 MB every 2 s would cost each entry 500 KB/s. */
    @Test
    void readsTheDocumentOnlyForANewVersion() {
        assertThat(mVersions).containsExactly(1L);
        mClient.mReads.clear();

        mClock.advance(Duration.ofMinutes(1));

        assertThat(mClient.mReads).isNotEmpty();
        assertThat(mClient.mReads).doesNotContain(ConfigurationKeys.CURRENT);
    }

    /** A watch may stall without an error; a new version must still be found within 4 s. */
    @Test
    void findsANewVersionWithinTheBoundWhenTheWatchStalls() {
        mStore.stallWatches();
        submit(1, "n-2");

        mClock.advance(Duration.ofSeconds(4));

        assertThat(mVersions).containsExactly(1L, 2L).inOrder();
    }

    private long storedVersion() {
        var read = mConfigurations.read();
        mClock.advance(Duration.ofMillis(100));
        return read.join().orElseThrow().version();
    }

    /** Instances would ignore the versions that are given out again. */
    @Test
    void anAcceptedConfigurationThatARestoredStoreLacksIsWrittenAgain() {
        var backup = mStore.backup();
        submit(1, "n-2");
        mClock.advance(Duration.ofSeconds(1));
        mStore.restore(backup);

        mClock.advance(Duration.ofSeconds(5));
        assertThat(storedVersion()).isEqualTo(2);
        submit(2, "n-3");
        mClock.advance(Duration.ofSeconds(4));

        assertThat(mVersions).containsExactly(1L, 2L, 3L).inOrder();
    }

    @Test
    void anAcceptedConfigurationThatAnEmptyStoreLacksIsWrittenAgain() {
        mStore.restore(Map.of());

        mClock.advance(Duration.ofSeconds(5));

        assertThat(storedVersion()).isEqualTo(1);
    }

    /** Each of 350 instances would write a document of up to 1 MB; a tenth of them may. */
    @Test
    void fewOfManyInstancesWriteALostConfiguration() {
        var backup = mStore.backup();
        for (int i = 0; i < 349; i++) {
            mConfigurations.watch().subscribe().with(stored -> {});
        }
        submit(1, "n-2");
        mClock.advance(Duration.ofSeconds(3));
        mStore.restore(backup);
        int before = mStore.writes();

        mClock.advance(Duration.ofSeconds(5));

        assertThat(storedVersion()).isEqualTo(2);
        assertThat(mStore.writes() - before).isAtMost(35);
    }

    private void submit(long baseVersion, String nonce) {
        CompletableFuture<SubmitResult> result = mConfigurations.submit("{}", baseVersion, nonce);
        mClock.advance(Duration.ofMillis(100));
        assertThat(result.join()).isEqualTo(new SubmitResult.Accepted(baseVersion + 1));
    }

    private static final class RecordingClient implements KeyValueStore {

        private final KeyValueStore mDelegate;
        private final List<String> mReads = new ArrayList<>();

        RecordingClient(KeyValueStore delegate) {
            mDelegate = delegate;
        }

        @Override
        public CompletableFuture<Optional<KeyValue>> read(String key) {
            mReads.add(key);
            return mDelegate.read(key);
        }

        @Override
        public CompletableFuture<List<KeyValue>> readRange(String from, String to, int limit) {
            return mDelegate.readRange(from, to, limit);
        }

        @Override
        public CompletableFuture<TransactionResult> commit(Transaction transaction) {
            return mDelegate.commit(transaction);
        }

        @Override
        public CompletableFuture<Long> grantLease(Duration timeToLive) {
            return mDelegate.grantLease(timeToLive);
        }

        @Override
        public CompletableFuture<Void> keepLeaseAlive(long leaseId) {
            return mDelegate.keepLeaseAlive(leaseId);
        }

        @Override
        public Multi<KeyValue> watch(String prefix) {
            return mDelegate.watch(prefix);
        }
    }
}
